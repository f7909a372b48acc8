//! How a workspace stands to its share of scarce room.

/// Whether a request's workspace has used up its share.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// It is within its share.
    #[default]
    Within,
    /// It is beyond its share and gives way.
    Beyond,
}
