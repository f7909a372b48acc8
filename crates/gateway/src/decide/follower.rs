//! How an instance follows one kind of objects in the store.

use std::time::Duration;

use bluebellstage_core::Revision;

use super::kind::Kind;

/// Longest wait of a watch where nothing depends on the news coming soon; each is a call that is
/// paid for. The store keeps 20 s of history: a longer wait may end in a list.
///
/// So instances are waited for: one that starts introduces itself to all others, and copies who
/// they are from a peer if the store doesn't tell.
const LONG_WAIT: Duration = Duration::from_secs(17);
/// Longest wait for the configuration, which must be in force everywhere within two seconds.
///
/// A call that begins while the store is silent is never answered, also after its return, and looks
/// like one that waits for news: instances went on with an old configuration, or an adapter's
/// old version, until the wait was over. An instance that has asked anew within two seconds of the
/// return hears what it missed while the bound is still suspended for the outage.
const CONFIG_WAIT: Duration = Duration::from_secs(1);
/// The same for announced versions, whose bound is five seconds.
const VERSIONS_WAIT: Duration = Duration::from_secs(2);
/// The same for targets. They report every second or so: a watch that hears nothing for longer has
/// lost its connection, and others must follow in this instance's place.
const TARGETS_WAIT: Duration = Duration::from_millis(1_500);
/// Pause after news of targets: their registrations change with each heartbeat, and each answer
/// costs a call. A leaving target must be known everywhere within 2 s.
const TARGETS_DELAY: Duration = Duration::from_millis(800);
/// Pause after other news, so that a burst of changes takes one call.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// First and longest pause after a call that failed.
const RETRY_BACKOFF: [Duration; 2] = [Duration::from_millis(150), Duration::from_secs(1)];

/// What to ask the store for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreRequest {
    /// All objects of the kind.
    List,
    /// Changes after a revision.
    Watch {
        /// The last revision that is known.
        after: Revision,
        /// Longest time that the store may wait for a change.
        wait: Duration,
    },
}

/// Follows one kind of objects: what is asked next, and when.
#[derive(Debug)]
pub struct Follower {
    kind: Kind,
    after: Option<Revision>,
    /// The store no longer has the changes after this revision.
    history_gone_after: Revision,
    next_backoff: Duration,
}

impl Follower {
    /// Follows a kind from a revision on, or from its first list.
    #[must_use]
    pub const fn new(kind: Kind, after: Option<Revision>) -> Self {
        Self {
            kind,
            after,
            history_gone_after: Revision(0),
            next_backoff: RETRY_BACKOFF[0],
        }
    }

    /// What it follows.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        self.kind
    }

    /// The revision up to which all is known; none before the first list.
    #[must_use]
    pub const fn after(&self) -> Option<Revision> {
        self.after
    }

    /// What to ask next.
    #[must_use]
    pub const fn next_request(&self) -> StoreRequest {
        match self.after {
            None => StoreRequest::List,
            Some(after) => StoreRequest::Watch {
                after,
                wait: max_wait(self.kind),
            },
        }
    }

    /// The store has answered with all up to a revision; gives the pause until the next call.
    pub fn record_response(&mut self, revision: Revision, any_objects: bool) -> Duration {
        self.next_backoff = RETRY_BACKOFF[0];
        let listed = self.after.replace(revision).is_none();
        match (listed || !any_objects, self.kind) {
            (true, _) => Duration::ZERO,
            (false, Kind::Targets) => TARGETS_DELAY,
            (false, _) => BATCH_DELAY,
        }
    }

    /// A peer has told all up to a revision: unless the history since then is gone, nothing need be
    /// listed.
    pub fn record_copy(&mut self, revision: Revision) {
        if revision > self.history_gone_after {
            self.after = Some(revision);
        }
    }

    /// The store no longer has the changes that were asked for: all is listed next.
    pub const fn record_history_gone(&mut self) {
        if let Some(after) = self.after.take() {
            self.history_gone_after = after;
        }
    }

    /// The call failed after it `took` so long; gives the pause until the next one. `spread`, around
    /// 1, differs between instances that were turned away together.
    ///
    /// The pause keeps an instance that is refused at once from asking without a break. A call without
    /// an answer has taken longer than that already: were it followed by a pause, the store could be
    /// back for as long as both before it is asked.
    pub fn record_failure(&mut self, took: Duration, spread: f64) -> Duration {
        let backoff = self.next_backoff;
        self.next_backoff = (backoff * 2).min(RETRY_BACKOFF[1]);
        backoff.mul_f64(spread).saturating_sub(took)
    }
}

const fn max_wait(kind: Kind) -> Duration {
    match kind {
        Kind::Config => CONFIG_WAIT,
        Kind::Targets => TARGETS_WAIT,
        Kind::AdapterVersions => VERSIONS_WAIT,
        Kind::Members | Kind::Leases | Kind::Verdicts => LONG_WAIT,
    }
}
