//! What can go wrong, the exit code of each, and what to do next.

use std::process::ExitCode;

use bluebellstage_core::{ChangeId, Revision};
use bluebellstage_gateway::decide::quarantine::Suspect;

/// How the program ends; the numbers stand in its help.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Exit {
    /// Done.
    Done,
    /// Wrong command line or file, or something unexpected.
    Failed,
    /// Not reached, or token refused.
    Unreachable,
    /// Refused.
    Refused,
    /// Outcome not known.
    Unknown,
    /// There are changes.
    Changes,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::Unreachable => 3,
            Exit::Refused => 4,
            Exit::Unknown => 5,
            Exit::Changes => 6,
        })
    }
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CliError {
    /// No instance is named.
    #[error("no instance is named")]
    NoAdmin,
    /// No token is given.
    #[error("no token is given")]
    NoToken,
    /// The logs don't name the request.
    #[error("no line names request {request}")]
    NoLines { request: Box<str> },
    /// A file can't be read.
    #[error("{file} can't be read: {cause}")]
    Unreadable { file: Box<str>, cause: Box<str> },
    /// Standard output can't be written.
    #[error("standard output can't be written: {cause}")]
    Unwritable { cause: Box<str> },
    /// A catalogue file does not parse.
    #[error("{file} is no catalogue: {cause}")]
    Malformed { file: Box<str>, cause: Box<str> },
    /// The instance does not answer.
    #[error("{url} does not answer: {cause}")]
    Unreachable { url: Box<str>, cause: Box<str> },
    /// The instance refused the token.
    #[error("{url} refused the token")]
    TokenRefused { url: Box<str> },
    /// The instance answered with an error.
    #[error("{message}")]
    Answered { status: u16, message: Box<str> },
    /// The catalogue moved on.
    #[error("the catalogue is at revision {in_force}, not at {expected}: nothing was changed")]
    Stale {
        in_force: Revision,
        expected: Revision,
    },
    /// The change contradicts the catalogue.
    #[error("{cause}; nothing was changed")]
    Invalid { cause: Box<str> },
    /// The platform can't be reached.
    #[error("the instance can't reach the platform: nothing was changed")]
    PlatformUnavailable,
    /// It is not known whether the change is in force.
    #[error("it is not known whether change {change} is in force")]
    OutcomeUnknown { change: ChangeId },
    /// Not every instance has it in force yet.
    #[error("revision {revision} was accepted, but not every instance was seen to have it")]
    NotEverywhere { revision: Revision },
    /// This request or prompt part is not refused.
    #[error("{suspect} is not quarantined")]
    NotQuarantined { suspect: Suspect },
    /// A planned stop goes on.
    #[error("the planned stop is still under way after {seconds} s")]
    StillDraining { seconds: u64 },
}

impl CliError {
    /// The exit code.
    pub(crate) const fn exit(&self) -> Exit {
        match self {
            Self::Unreachable { .. } | Self::TokenRefused { .. } => Exit::Unreachable,
            Self::Answered { status, .. } if *status < 500 => Exit::Refused,
            Self::NoAdmin
            | Self::NoToken
            | Self::NoLines { .. }
            | Self::Unreadable { .. }
            | Self::Unwritable { .. }
            | Self::Malformed { .. }
            | Self::NotQuarantined { .. }
            | Self::Answered { .. } => Exit::Failed,
            Self::Stale { .. } | Self::Invalid { .. } | Self::PlatformUnavailable => Exit::Refused,
            Self::OutcomeUnknown { .. }
            | Self::NotEverywhere { .. }
            | Self::StillDraining { .. } => Exit::Unknown,
        }
    }

    /// What to do next.
    pub(crate) fn next(&self) -> String {
        match self {
            Self::NoAdmin => "name one with --admin URL or BLUEBELLSTAGE_ADMIN".into(),
            Self::NoToken => "set BLUEBELLSTAGE_TOKEN or name a file with --token-file".into(),
            Self::NoLines { .. } => {
                "name the logs of all instances; lines may have been left out (BS3007)".into()
            }
            Self::Unreadable { .. } => "name a readable file".into(),
            Self::Unwritable { .. } => {
                "make room where the output goes; a change that was sent may be in force".into()
            }
            Self::Malformed { .. } => {
                "compare the file with what `bluebellstage catalogue get` prints".into()
            }
            Self::Unreachable { .. } => "name another instance with --admin".into(),
            Self::TokenRefused { .. } => {
                "use a token whose digest is in the instance's settings (`admin_tokens`)".into()
            }
            Self::Answered { .. } => "see docs/API.md for the call".into(),
            Self::NotQuarantined { .. } => {
                "run `bluebellstage instance`: it lists those that are refused".into()
            }
            Self::Stale { .. } => {
                "run `bluebellstage catalogue get`, carry your edits over, and apply again".into()
            }
            Self::Invalid { .. } => "correct what it names, then run the command again".into(),
            Self::PlatformUnavailable => {
                "try again when the platform answers; see OPERATORS.md, outages".into()
            }
            Self::OutcomeUnknown { change } => {
                format!("run the same command again with --change-id {change}: it can't apply twice")
            }
            Self::NotEverywhere { .. } => {
                "run `bluebellstage status`: an instance without it serves no caller until it has it"
                    .into()
            }
            Self::StillDraining { .. } => {
                "run `bluebellstage status` to see what is under way, or drain again to go on waiting"
                    .into()
            }
        }
    }
}
