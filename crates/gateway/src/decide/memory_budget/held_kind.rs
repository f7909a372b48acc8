//! What bytes are held for.

/// What bytes are held for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeldKind {
    /// A connection by itself.
    Connection,
    /// The body of a request.
    RequestBody,
    /// A response that is buffered.
    Response,
    /// Parts of a response that the caller has not taken.
    Untaken,
}

impl HeldKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [
        Self::Connection,
        Self::RequestBody,
        Self::Response,
        Self::Untaken,
    ];
}
