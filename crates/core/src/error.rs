//! Errors of this crate; each message names the remedy.

/// An error in raw input to the cores.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum CoreError {
    /// The text is not a valid identifier.
    #[error("`{raw}` is no {kind} name: use 1 to 128 letters, digits or any of - _ . / :")]
    MalformedId {
        /// The kind of thing that the identifier names.
        kind: &'static str,
        /// The text, truncated to the maximum length of an identifier.
        raw: Box<str>,
    },
    /// The text is not a name that can be carried.
    #[error(
        "`{raw}` is no {kind} name: use 1 to 512 bytes without control characters, and no blank at either end"
    )]
    MalformedName {
        /// The kind of thing that the name is for.
        kind: &'static str,
        /// The text, truncated to the maximum length of an identifier.
        raw: Box<str>,
    },
    /// The text is not a whole number.
    #[error("`{raw}` is no {kind}: use a whole number of at most 20 digits")]
    MalformedNumber {
        /// The quantity that the number stands for.
        kind: &'static str,
        /// The text, truncated.
        raw: Box<str>,
    },
    /// A stored object could not be parsed.
    #[error(
        "platform object `{object}` does not parse ({cause}): restore its last version, then retry"
    )]
    MalformedObject {
        /// Name of the object.
        object: Box<str>,
        /// The parser's message.
        cause: Box<str>,
    },
    /// A catalogue change conflicts with the catalogue.
    #[error("change refused: {cause}")]
    InvalidChange {
        /// The conflict and its remedy.
        cause: Box<str>,
    },
}
