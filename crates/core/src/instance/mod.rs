//! One whole instance, composed of the cores.

/// Placeholder.
#[derive(Debug)]
pub struct Instance;
