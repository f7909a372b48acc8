//! What becomes of settings that changed while the process runs.

use crate::settings::{NodeSettings, Terms};

/// What to do about settings that were read again.
#[derive(Clone, Debug, PartialEq)]
pub enum Reload {
    /// They say what they said.
    Unchanged,
    /// Something changed.
    Changed {
        /// Terms to take over now, if any of them differs.
        terms: Option<Terms>,
        /// Keys that differ and are used at the start alone; they wait for a restart.
        at_restart: Vec<&'static str>,
    },
}

/// Compares the settings of the running process with those that were `read` just now.
///
/// Addresses and the name identify the process to its peers and callers, so they stay until it ends.
#[must_use]
pub fn compare(running: &NodeSettings, terms: &Terms, read: NodeSettings) -> Reload {
    let mut member = read.member;
    // Each reading makes up a new life; the process goes on with its own.
    member.incarnation = running.member.incarnation;
    let differing = [
        ("member", member != running.member),
        ("ready", read.ready != running.ready),
        ("directory", read.directory != running.directory),
        ("metrics", read.metrics != running.metrics),
        ("handover", read.handover != running.handover),
    ];
    let differing = differing.into_iter().filter(|(_, differs)| *differs);
    let at_restart = differing.map(|(key, _)| key).collect::<Vec<_>>();
    let terms = (read.terms != *terms).then_some(read.terms);
    if terms.is_none() && at_restart.is_empty() {
        return Reload::Unchanged;
    }
    Reload::Changed { terms, at_restart }
}
