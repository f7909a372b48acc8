//! Carries out fair shares: reviews them in each round of gossip and lets requests give way.

use std::time::Duration;

use bluebellstage_core::{ServiceId, Time, WorkspaceId};

use crate::decide::fair_share::{Share, ShareChange};
use crate::decide::placement::Pick;
use crate::edge::Edge;

use super::front::Job;
use super::log::{LogEvent, event};
use super::node::Node;
use super::search_outcome::{ALL_FULL, NOT_LOADED, SearchOutcome};

/// Reviews the shares of all workspaces and logs what changed.
pub(super) fn review<E: Edge>(node: &Node<E>) {
    let changes = node.tables().review_shares(node.now());
    for change in changes {
        log_change(&change);
    }
}

impl<E: Edge> Job<E> {
    /// Returns the time after which the share of the request's workspace is back if the request gives way. Only the
    /// first choice decides: what waits or was sent already goes on.
    pub(super) fn gives_way(&self, pick: &Pick, now: Time) -> Option<Duration> {
        if self.sends > 0 || self.runs > 0 || !self.load_waited.is_zero() {
            return None;
        }
        let mut tables = self.node.tables();
        tables.gives_way(&self.ticket, &self.call, pick, now)
    }

    /// Records a refusal for want of room.
    pub(super) fn record_want_of_room(&self, found: &SearchOutcome<E>) {
        if !is_for_want_of_room(found) {
            return;
        }
        let now = self.node.now();
        let mut tables = self.node.tables();
        tables.fair_shares.record_refusal(&self.ticket.service, now);
    }
}

fn is_for_want_of_room<E: Edge>(found: &SearchOutcome<E>) -> bool {
    match found {
        SearchOutcome::QueueTooLong(_) => true,
        SearchOutcome::NotRun(why) => [ALL_FULL, NOT_LOADED].contains(why),
        _ => false,
    }
}

fn log_change(change: &ShareChange) {
    match change {
        ShareChange::ShortageBegun {
            service,
            waiting,
            refused,
        } => event(
            LogEvent::ShortageBegun,
            &[
                ("service", service.as_str()),
                ("waiting", &waiting.to_string()),
                ("refused", &refused.to_string()),
            ],
        ),
        ShareChange::ShortageEnded { service } => {
            event(LogEvent::ShortageEnded, &[("service", service.as_str())]);
        }
        ShareChange::Beyond {
            service,
            workspace,
            share,
            waiting,
        } => log_workspace(LogEvent::BeyondShare, service, workspace, *share, *waiting),
        ShareChange::Within {
            service,
            workspace,
            share,
            waiting,
        } => log_workspace(LogEvent::WithinShare, service, workspace, *share, *waiting),
    }
}

fn log_workspace(
    log_event: LogEvent,
    service: &ServiceId,
    workspace: &WorkspaceId,
    share: Share,
    waiting: u32,
) {
    let units = share.units().map(|units| units.to_string());
    event(
        log_event,
        &[
            ("service", service.as_str()),
            ("workspace", workspace.as_str()),
            ("share", units.as_deref().unwrap_or("all")),
            ("spending", &share.spent_units().to_string()),
            ("waiting", &waiting.to_string()),
        ],
    );
}
