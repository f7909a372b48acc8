//! Sends the request limits that targets report, and charges requests of all instances against
//! them.

use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};

use super::message::{Message, OutgoingMessage};
use crate::decide::limits::{Change, LimitReport, ReportedLimit, UNITS_PER_REQUEST, budget};
use crate::decide::quota::{ChargeOutcome, PeerVisibility};
use crate::decide::tables::Tables;

const MAX_LIMITS_PER_DATAGRAM: usize = 64;

fn batches(reports: &[LimitReport], to: &[SocketAddr]) -> Vec<OutgoingMessage> {
    let parts = reports
        .chunks(MAX_LIMITS_PER_DATAGRAM)
        .map(|part| OutgoingMessage {
            to: to.to_vec(),
            message: Message::Limits(part.to_vec()),
        });
    parts.collect()
}

impl Tables {
    /// Records what the response to a request that was `sent` then reports about its target's
    /// limit.
    pub fn record_reported_limit(
        &mut self,
        target: &TargetId,
        said: ReportedLimit,
        sent: Time,
        now: Time,
    ) -> Change {
        let change = self.limits.record_response(target, said, sent, now);
        self.apply_limit(target, change, now);
        change
    }

    fn apply_limit(&mut self, target: &TargetId, change: Change, now: Time) {
        match change {
            Change::Unchanged => {}
            Change::Limited(rate) => {
                let unknown = self.unknown_spending_fraction(now);
                self.quotas.prepare(target, budget(rate), unknown, now);
            }
            Change::Lifted => self.quotas.close(target),
        }
    }

    /// Charges a request to the limit of its target, if there is one. Returns false if the limit is
    /// used up.
    pub(in crate::decide) fn charge_limit(&mut self, target: &TargetId, now: Time) -> bool {
        let Some(rate) = self.limits.get(target) else {
            return true;
        };
        let sharing = PeerVisibility {
            silent_fraction: self.unknown_spending_fraction(now),
            staleness: self.update_age(now),
        };
        let no_wait = Duration::ZERO;
        let charged = self.quotas.charge(
            target,
            budget(rate),
            UNITS_PER_REQUEST,
            sharing,
            no_wait,
            now,
        );
        charged == ChargeOutcome::Accepted
    }

    pub(super) fn limit_messages(&mut self, now: Time) -> Vec<OutgoingMessage> {
        let local = self.limits.reports_for_round(now);
        let forwarded = self.limits.relayed_reports_for_round(now);
        let mut outgoing = batches(&local, &self.broadcast_addresses(now));
        outgoing.extend(batches(&forwarded, &self.subscribers()));
        outgoing
    }

    /// Applies limits that another instance reported. A relay forwards those that are new to its
    /// subscribers.
    pub(super) fn receive_limits(&mut self, reports: &[LimitReport], now: Time) {
        let mut changed = Vec::new();
        for report in reports {
            let Some(change) = self.limits.apply(report, now) else {
                continue;
            };
            self.apply_limit(&report.target, change, now);
            changed.push(report.target.clone());
        }
        if !self.subscribers().is_empty() {
            self.limits.queue_relay(changed);
        }
    }
}
