//! Room for a request at the targets of its service.

/// Room for a request at the best target that could run it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Room {
    /// A target begins it soon, or it is held up by something other than room.
    Free,
    /// A target begins it in time, but late enough to make others late that come after it.
    Scarce,
    /// Every target would begin it too late.
    Late,
    /// Its adapter needs a slot.
    NoSlot,
}
