//! Whether a workspace is within its fair share.

/// Whether a waiting request's workspace is within its fair share of the service.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// It is, or the service is not short of room.
    #[default]
    Within,
    /// It has spent more than its share.
    Beyond,
}
