//! Applies settings that change while the process runs.

use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::Signal;

use crate::decide::store::reload::{Reload, compare};
use crate::edge::{Edge, SettingsSource};

use super::log::{LogEvent, event};
use super::node::Node;

/// Interval at which the settings are read without a signal. No setting is urgent, and a read costs one file of
/// 2 KB.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the settings on each SIGHUP and periodically, until the process ends.
pub(super) fn run<E: Edge>(node: Arc<Node<E>>, source: E::Settings, mut hangup: Signal) {
    tokio::spawn(async move {
        let mut last_logged = String::new();
        loop {
            let by_signal = tokio::select! {
                _hangup = hangup.recv() => true,
                () = tokio::time::sleep(POLL_INTERVAL) => false,
            };
            let outcome = poll(&node, &source);
            if by_signal || outcome.should_log(&last_logged) {
                outcome.log();
            }
            last_logged = outcome.text();
        }
    });
}

/// Result of reading the settings.
enum PollOutcome {
    Unchanged,
    /// `any_applied`: some changes were applied. `at_restart`: keys whose changes need a restart.
    Applied {
        any_applied: bool,
        at_restart: String,
    },
    Refused {
        cause: String,
    },
}

impl PollOutcome {
    fn text(&self) -> String {
        match self {
            Self::Unchanged => String::new(),
            Self::Applied { at_restart, .. } => at_restart.clone(),
            Self::Refused { cause } => cause.clone(),
        }
    }

    /// Keys that wait for a restart, and a file that stays unreadable, are logged only once.
    fn should_log(&self, last_logged: &str) -> bool {
        match self {
            Self::Unchanged => false,
            Self::Applied {
                any_applied: true, ..
            } => true,
            Self::Applied { .. } | Self::Refused { .. } => self.text() != last_logged,
        }
    }

    fn log(&self) {
        match self {
            Self::Unchanged => event(LogEvent::SettingsReloaded, &[("at_restart", "")]),
            Self::Applied { at_restart, .. } => {
                event(LogEvent::SettingsReloaded, &[("at_restart", at_restart)]);
            }
            Self::Refused { cause } => event(LogEvent::SettingsRefused, &[("cause", cause)]),
        }
    }
}

fn poll<E: Edge>(node: &Node<E>, source: &E::Settings) -> PollOutcome {
    let read = match source.read() {
        Ok(read) => read,
        Err(err) => {
            return PollOutcome::Refused {
                cause: err.to_string(),
            };
        }
    };
    let compared = compare(&node.settings, &node.reloadable_settings(), read);
    match compared {
        Reload::Unchanged => PollOutcome::Unchanged,
        Reload::Changed { terms, at_restart } => {
            let any_applied = terms.is_some();
            if let Some(terms) = terms {
                node.set_reloadable_settings(terms);
            }
            PollOutcome::Applied {
                any_applied,
                at_restart: at_restart.join(","),
            }
        }
    }
}
