//! Context passed to every step of a core.

use crate::{Action, Ownership, Time};

/// Context of a step: the time, the ownership view and the queue of resulting actions.
#[derive(Debug)]
pub struct Cx<'a> {
    /// Time of the step.
    pub now: Time,
    /// The local instance's view of the ownership map and of its own lease.
    pub ownership: &'a Ownership,
    /// Resulting actions, in order.
    pub out: &'a mut Vec<Action>,
}
