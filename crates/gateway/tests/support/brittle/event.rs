//! Requests of a simulation, and what happens to them.

use bluebellstage_core::{Incarnation, TargetId, Time};

/// A request.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Request {
    pub arrived: Time,
    pub origin: usize,
    /// The instance that looks for a target, and the target as whose owner it got the request.
    pub at: usize,
    pub owned: Option<TargetId>,
    pub tried: Vec<TargetId>,
    pub tried_here: Vec<TargetId>,
    pub hops: usize,
    /// Since when it has waited at an owner.
    pub waits_since: Option<Time>,
}

/// An attempt at a target.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Attempt {
    pub request: Request,
    /// Process that sent it.
    pub sender: Incarnation,
    pub target: usize,
    pub born: u64,
    pub sent: Time,
    pub charged_at: Option<Time>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Event {
    Search(Request),
    Arrive(Attempt),
    Refused(Attempt),
    Unreachable(Attempt),
    Served(Attempt),
    /// A request for a sign of life arrives at a target, from an instance.
    Check(usize, usize),
    /// A sign of life of a target arrives at an instance.
    Sign(usize, usize),
    /// What a target says to a new process that asked it, or nothing.
    FirstReport(usize, Incarnation, Option<usize>),
}
