//! Takes over settings that change while the process runs.

use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crate::decide::reload::{Reload, compare};
use crate::edge::{Edge, SettingsSource};
use crate::error::GatewayError;

use super::log::{LogEvent, event};
use super::node::Node;

/// Pause between looks at the settings without a signal. Nothing in them is urgent, and a look costs
/// a read of a file of 2 KB.
const LOOK: Duration = Duration::from_secs(5);

/// Reads the settings at each SIGHUP, and now and then without one, until the process ends.
pub(super) fn run<E: Edge>(node: Arc<Node<E>>, source: E::Settings) -> Result<(), GatewayError> {
    let mut hangup =
        signal(SignalKind::hangup()).map_err(|cause| GatewayError::Signal { cause })?;
    tokio::spawn(async move {
        let mut told = String::new();
        loop {
            let asked = tokio::select! {
                _hangup = hangup.recv() => true,
                () = tokio::time::sleep(LOOK) => false,
            };
            let outcome = look(&node, &source);
            if asked || outcome.is_news(&told) {
                outcome.tell();
            }
            told = outcome.text();
        }
    });
    Ok(())
}

/// What a look at the settings found.
enum Outcome {
    Unchanged,
    /// `now`: some are in force now.
    Taken {
        now: bool,
        at_restart: String,
    },
    Refused {
        cause: String,
    },
}

impl Outcome {
    fn text(&self) -> String {
        match self {
            Self::Unchanged => String::new(),
            Self::Taken { at_restart, .. } => at_restart.clone(),
            Self::Refused { cause } => cause.clone(),
        }
    }

    /// Keys that wait for a restart, and a file that stays unreadable, are told of once.
    fn is_news(&self, told: &str) -> bool {
        match self {
            Self::Unchanged => false,
            Self::Taken { now: true, .. } => true,
            Self::Taken { .. } | Self::Refused { .. } => self.text() != told,
        }
    }

    fn tell(&self) {
        match self {
            Self::Unchanged => event(LogEvent::SettingsReloaded, &[("at_restart", "")]),
            Self::Taken { at_restart, .. } => {
                event(LogEvent::SettingsReloaded, &[("at_restart", at_restart)]);
            }
            Self::Refused { cause } => event(LogEvent::SettingsRefused, &[("cause", cause)]),
        }
    }
}

fn look<E: Edge>(node: &Node<E>, source: &E::Settings) -> Outcome {
    let read = match source.read() {
        Ok(read) => read,
        Err(err) => {
            return Outcome::Refused {
                cause: err.to_string(),
            };
        }
    };
    let compared = compare(&node.settings, &node.terms(), read);
    match compared {
        Reload::Unchanged => Outcome::Unchanged,
        Reload::Changed { terms, at_restart } => {
            let now = terms.is_some();
            if let Some(terms) = terms {
                node.take_terms(terms);
            }
            Outcome::Taken {
                now,
                at_restart: at_restart.join(","),
            }
        }
    }
}
