//! The catalogue state machine.

/// Placeholder.
#[derive(Debug)]
pub struct Catalogue;
