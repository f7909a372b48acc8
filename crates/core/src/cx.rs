//! What every step of a core is given.

use crate::{Action, Ownership, Time};

/// The moment of a step, who may act at that moment, and where its actions go.
#[derive(Debug)]
pub struct Cx<'a> {
    /// The moment.
    pub now: Time,
    /// Who may act.
    pub ownership: &'a Ownership,
    /// What is to be done, in order.
    pub out: &'a mut Vec<Action>,
}
