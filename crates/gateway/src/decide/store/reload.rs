//! Reloading of settings while the process runs.

use crate::settings::{NodeSettings, ReloadableSettings};

/// Result of comparing reloaded settings with the running ones.
#[derive(Clone, Debug, PartialEq)]
pub enum Reload {
    /// The settings are the same.
    Unchanged,
    /// Some settings changed.
    Changed {
        /// Terms to apply now, if any of them changed.
        terms: Option<ReloadableSettings>,
        /// Changed keys that are read only at startup; they take effect after a restart.
        at_restart: Vec<&'static str>,
    },
}

/// Compares the settings of the running process with those that were just `read`.
///
/// Addresses and the name identify the process to its peers and callers, so they stay the same until it ends.
#[must_use]
pub fn compare(running: &NodeSettings, terms: &ReloadableSettings, read: NodeSettings) -> Reload {
    let mut member = read.member;
    // Each reading creates a new incarnation; the process keeps its own.
    member.incarnation = running.member.incarnation;
    let differing = [
        ("member", member != running.member),
        ("ready", read.ready != running.ready),
        ("directory", read.directory != running.directory),
        ("metrics", read.metrics != running.metrics),
        ("handover", read.handover != running.handover),
        ("memory_limit", read.memory_limit != running.memory_limit),
        (
            "descriptor_limit",
            read.descriptor_limit != running.descriptor_limit,
        ),
    ];
    let differing = differing.into_iter().filter(|(_, differs)| *differs);
    let at_restart = differing.map(|(key, _)| key).collect::<Vec<_>>();
    let terms = (read.reloadable != *terms).then_some(read.reloadable);
    if terms.is_none() && at_restart.is_empty() {
        return Reload::Unchanged;
    }
    Reload::Changed { terms, at_restart }
}
