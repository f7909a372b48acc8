//! Follows one kind of objects in the store.

use std::time::Duration;

use bluebellstage_core::Revision;

use crate::decide::store::kind::Kind;

/// Maximum wait of a watch for kinds whose changes are not urgent. Each watch is a call that is
/// paid for. The store keeps 20 s of history, so a longer wait may end in a full list.
///
/// Members are not urgent because an instance that starts announces itself to all others, and
/// copies the members from a peer if the store does not respond.
const LONG_WAIT: Duration = Duration::from_secs(17);
/// Maximum wait for the configuration, which must be in force everywhere within two seconds.
///
/// The store never responds to a call that starts while it is unresponsive, even after it has
/// recovered, and the call looks like one that waits for changes. Instances then used an old
/// configuration, or an old version of an adapter, until the wait was over. An instance that calls
/// again within two seconds of the recovery receives what it missed while the bound is still
/// suspended for the outage.
const CONFIG_WAIT: Duration = Duration::from_secs(1);
/// Maximum wait for announced versions and evacuations, whose bounds are five seconds.
const VERSIONS_WAIT: Duration = Duration::from_secs(2);
/// Maximum wait for targets. They report about once a second, so a watch without changes for longer
/// has lost its connection, and other instances must follow in place of this one.
const TARGETS_WAIT: Duration = Duration::from_millis(1_500);
/// Delay after changes of targets. Their registrations change with each heartbeat, and each
/// response costs a call. A leaving target must be known everywhere within 2 s.
const TARGETS_DELAY: Duration = Duration::from_millis(800);
/// Delay after other changes, so that one call receives a burst of changes.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// Initial and maximum backoff after a failed call.
const RETRY_BACKOFF: [Duration; 2] = [Duration::from_millis(150), Duration::from_secs(1)];

/// Maximum backoff of an instance that has not reached the store. It tries one kind of objects only, and callers
/// wait for it.
const FIRST_CONTACT_BACKOFF: Duration = Duration::from_millis(250);

/// A request to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreRequest {
    /// Lists all objects of the kind.
    List,
    /// Waits for changes after a revision.
    Watch {
        /// The last known revision.
        after: Revision,
        /// Maximum time for which the store may wait for a change.
        wait: Duration,
    },
}

/// Decides on the requests for one kind of objects and on the delays between them.
#[derive(Debug)]
pub struct Follower {
    kind: Kind,
    after: Option<Revision>,
    /// The store no longer has the changes after this revision.
    history_gone_after: Revision,
    /// Whether the store has answered no watch since it did not have the changes last.
    is_history_gone: bool,
    next_backoff: Duration,
}

impl Follower {
    /// Creates a follower that starts with changes after a revision, or with a list.
    #[must_use]
    pub const fn new(kind: Kind, after: Option<Revision>) -> Self {
        Self {
            kind,
            after,
            history_gone_after: Revision(0),
            is_history_gone: false,
            next_backoff: RETRY_BACKOFF[0],
        }
    }

    /// The kind of objects.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        self.kind
    }

    /// The revision up to which all changes are known, or `None` before the first list.
    #[must_use]
    pub const fn after(&self) -> Option<Revision> {
        self.after
    }

    /// Returns the next request.
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

    /// Records a response with all changes up to a revision, and the duration of the call. Returns the delay before
    /// the next call.
    ///
    /// The delay keeps an instance from calling in a tight loop when the store ends each watch at once.
    pub fn record_response(
        &mut self,
        revision: Revision,
        any_objects: bool,
        took: Duration,
    ) -> Duration {
        let is_list = self.after.replace(revision).is_none();
        if !is_list || !self.is_history_gone {
            self.next_backoff = RETRY_BACKOFF[0];
        }
        if is_list {
            return Duration::ZERO;
        }
        self.is_history_gone = false;
        match (any_objects, self.kind) {
            (false, _) => BATCH_DELAY.saturating_sub(took),
            (true, Kind::Targets) => TARGETS_DELAY,
            (true, _) => BATCH_DELAY,
        }
    }

    /// Records a peer's copy of all objects up to a revision. No list is needed then, unless the
    /// store has no history after that revision.
    pub fn record_copy(&mut self, revision: Revision) {
        if revision > self.history_gone_after {
            self.after = Some(revision);
        }
    }

    /// Records that the store no longer has the requested changes. The next request is a list. Returns the delay
    /// before it: none, unless the store has not had them after the last list either. `spread` is as for a failure.
    pub fn record_history_gone(&mut self, took: Duration, spread: f64) -> Duration {
        if let Some(after) = self.after.take() {
            self.history_gone_after = after;
        }
        if std::mem::replace(&mut self.is_history_gone, true) {
            return self.record_failure(took, spread);
        }
        Duration::ZERO
    }

    /// Records that a watch's response could not be read. The next request is a list, which has pages. Returns the delay
    /// before it: none, unless no watch has been read since the last list either.
    pub fn record_unread(&mut self, took: Duration, spread: f64) -> Duration {
        self.record_history_gone(took, spread)
    }

    const fn max_backoff(&self) -> Duration {
        match (self.kind, self.after) {
            (Kind::Members, None) => FIRST_CONTACT_BACKOFF,
            _ => RETRY_BACKOFF[1],
        }
    }

    /// Records a failed call and its duration. Returns the delay before the next call. `spread`,
    /// around 1, differs between instances that failed together.
    ///
    /// The delay keeps an instance from calling in a tight loop when the store rejects calls at
    /// once. A call without a response has already taken longer than the delay. With a delay after
    /// it, the store could be back for the sum of both before the next call.
    pub fn record_failure(&mut self, took: Duration, spread: f64) -> Duration {
        let backoff = self.next_backoff;
        self.next_backoff = (backoff * 2).min(self.max_backoff());
        backoff.mul_f64(spread).saturating_sub(took)
    }
}

const fn max_wait(kind: Kind) -> Duration {
    match kind {
        Kind::Config => CONFIG_WAIT,
        Kind::Targets => TARGETS_WAIT,
        Kind::AdapterVersions | Kind::Evacuations => VERSIONS_WAIT,
        Kind::Members | Kind::Leases | Kind::Verdicts | Kind::Streams => LONG_WAIT,
    }
}
