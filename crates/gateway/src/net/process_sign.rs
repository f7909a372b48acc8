//! What is seen of a process that has closed a connection.

/// What is seen of a process that has closed a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ProcessSign {
    /// A report with its start time.
    SameStart,
    /// An answer on a connection that was open before.
    KeptAnswers,
    /// A connection that was open before still is, though new ones are closed.
    KeptOpen,
    /// A report with another start time, or an answer of another target.
    OtherProcess,
    /// Nothing listens at the address.
    Refused,
    /// A report that names no start time.
    Unnamed,
    /// A report with a start time, while that of the process that got the request is not known.
    Unregistered,
    /// New connections are opened, and closed without an answer: the process is ending, is starting, or has too many.
    Closed,
    /// The target or the path to it is silent.
    Silent,
}

impl ProcessSign {
    /// Whether the process still runs.
    pub(super) const fn shows_that_it_runs(self) -> bool {
        matches!(self, Self::SameStart | Self::KeptAnswers | Self::KeptOpen)
    }

    /// Whether the process has ended.
    pub(super) const fn shows_that_it_ended(self) -> bool {
        matches!(self, Self::OtherProcess | Self::Refused)
    }

    /// Short name for the log.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::SameStart => "same_start",
            Self::KeptAnswers => "kept_answers",
            Self::KeptOpen => "kept_open",
            Self::OtherProcess => "other_process",
            Self::Refused => "refused",
            Self::Unnamed => "unnamed",
            Self::Unregistered => "unregistered",
            Self::Closed => "closed",
            Self::Silent => "silent",
        }
    }
}
