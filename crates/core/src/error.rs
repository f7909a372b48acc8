//! Errors of this crate; each message names the remedy.

/// What can be wrong with raw input to the cores.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum CoreError {
    /// Text that is no identifier.
    #[error("`{raw}` is no {kind} name: use 1 to 128 letters, digits or any of - _ . / :")]
    MalformedId {
        /// What the identifier names.
        kind: &'static str,
        /// The text, cut to the longest legal length.
        raw: Box<str>,
    },
    /// Text that is no whole number.
    #[error("`{raw}` is no {kind}: use a whole number of at most 20 digits")]
    MalformedNumber {
        /// What the number counts.
        kind: &'static str,
        /// The text, cut.
        raw: Box<str>,
    },
    /// A stored object that does not parse.
    #[error(
        "platform object `{object}` does not parse ({cause}): restore its last version, then retry"
    )]
    MalformedObject {
        /// Name of the object.
        object: Box<str>,
        /// The parser's message.
        cause: Box<str>,
    },
    /// A catalogue change that contradicts the catalogue.
    #[error("change refused: {cause}")]
    InvalidChange {
        /// What contradicts, and what to do about it.
        cause: Box<str>,
    },
}
