//! Printing: for people, or as JSON.

use serde::Serialize;

use bluebellstage_core::catalogue::Change;

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
    pub(crate) fn print<T: Serialize>(self, value: &T, text: impl FnOnce() -> String) {
        match self {
            Self::Json => println!("{}", pretty(value)),
            Self::Text => println!("{}", text().trim_end()),
        }
    }

    /// Tells a person how it goes on; a program waits for the result.
    pub(crate) fn progress(self, text: &str) {
        if self == Self::Text {
            println!("{text}");
        }
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
