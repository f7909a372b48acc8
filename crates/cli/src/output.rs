//! Printing: for people, or as JSON.

use std::io::{ErrorKind, Write};

use serde::Serialize;

use bluebellstage_core::catalogue::Change;

use crate::error::CliError;

/// How results are printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Output {
    /// For a person.
    Text,
    /// For a program.
    Json,
}

impl Output {
    /// As the switch `--json` says.
    pub(crate) const fn new(json: bool) -> Self {
        if json { Self::Json } else { Self::Text }
    }

    /// Prints a result: `value` as JSON, or the text.
    pub(crate) fn print<T: Serialize>(
        self,
        value: &T,
        text: impl FnOnce() -> String,
    ) -> Result<(), CliError> {
        match self {
            Self::Json => print_line(&pretty(value)),
            Self::Text => print_line(text().trim_end()),
        }
    }

    /// Tells a person how it goes on; a program waits for the result.
    pub(crate) fn progress(self, text: &str) -> Result<(), CliError> {
        match self {
            Self::Json => Ok(()),
            Self::Text => print_line(text),
        }
    }
}

/// Prints a line. A reader that has left, such as `head`, needs no more lines, and the command goes on without it.
///
/// # Errors
///
/// The line can't be written for another reason.
pub(crate) fn print_line(text: &str) -> Result<(), CliError> {
    let mut out = std::io::stdout().lock();
    let written = writeln!(out, "{text}").and_then(|()| out.flush());
    match written {
        Err(err) if err.kind() != ErrorKind::BrokenPipe => Err(CliError::Unwritable {
            cause: err.to_string().into(),
        }),
        Ok(()) | Err(_) => Ok(()),
    }
}

/// JSON that a person can read, too.
pub(crate) fn pretty<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}

/// One line a change.
pub(crate) fn change_lines(changes: &[Change]) -> String {
    changes
        .iter()
        .map(|change| change_line(change) + "\n")
        .collect()
}

fn change_line(change: &Change) -> String {
    match change {
        Change::PutWorkspace(entry) => {
            format!(
                "put workspace {}: rate {}, burst {}",
                entry.id, entry.rate, entry.burst
            )
        }
        Change::RemoveWorkspace(id) => format!("remove workspace {id}"),
        Change::IssueKey(entry) => format!("issue key {} to {}", entry.id, entry.workspace),
        Change::WithdrawKey(id) => format!("withdraw key {id}"),
        Change::PutAdapter(entry) => format!(
            "put adapter {}@{}: owner {}, base model {}",
            entry.id, entry.current, entry.owner, entry.base_model
        ),
        Change::RemoveAdapter(id) => format!("remove adapter {id}"),
        Change::PutService(entry) => {
            let workspaces: Vec<_> = entry.workspaces.iter().map(ToString::to_string).collect();
            format!("put service {}: for {}", entry.id, workspaces.join(", "))
        }
        Change::RemoveService(id) => format!("remove service {id}"),
    }
}
