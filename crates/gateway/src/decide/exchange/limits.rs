//! Sends the request limits that targets report, and charges requests of all instances against
//! them.

use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};

use super::message::{Message, OutgoingMessage};
use crate::decide::limits::{Change, LimitWord, REQUEST, Said, budget};
use crate::decide::quota::{Charged, Sharing};
use crate::decide::tables::Tables;

const MAX_LIMITS_PER_DATAGRAM: usize = 64;

fn batches(reports: &[LimitWord], to: &[SocketAddr]) -> Vec<OutgoingMessage> {
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
        said: Said,
        sent: Time,
        now: Time,
    ) -> Change {
        let change = self.limits.heard(target, said, sent, now);
        self.apply_limit(target, change, now);
        change
    }

    fn apply_limit(&mut self, target: &TargetId, change: Change, now: Time) {
        match change {
            Change::Same => {}
            Change::Limited(rate) => {
                let unknown = self.unknown_spending_fraction(now);
                self.quotas.prepare(target, budget(rate), unknown, now);
            }
            Change::Over => self.quotas.close(target),
        }
    }

    /// Charges a request to the limit of its target, if there is one. Returns false if the limit is
    /// used up.
    pub(in crate::decide) fn charge_limit(&mut self, target: &TargetId, now: Time) -> bool {
        let Some(rate) = self.limits.of(target) else {
            return true;
        };
        let sharing = Sharing {
            silent: self.unknown_spending_fraction(now),
            lag: self.update_age(now),
        };
        let no_wait = Duration::ZERO;
        let charged = self
            .quotas
            .charge(target, budget(rate), REQUEST, sharing, no_wait, now);
        charged == Charged::Within
    }

    pub(super) fn limit_messages(&mut self, now: Time) -> Vec<OutgoingMessage> {
        let local = self.limits.tell_round(now);
        let forwarded = self.limits.pass_on_round(now);
        let mut outgoing = batches(&local, &self.broadcast_addresses(now));
        outgoing.extend(batches(&forwarded, &self.subscribers()));
        outgoing
    }

    /// Applies limits that another instance reported. A relay forwards those that are new to its
    /// subscribers.
    pub(super) fn receive_limits(&mut self, reports: &[LimitWord], now: Time) {
        let mut changed = Vec::new();
        for report in reports {
            let Some(change) = self.limits.take(report, now) else {
                continue;
            };
            self.apply_limit(&report.target, change, now);
            changed.push(report.target.clone());
        }
        if !self.subscribers().is_empty() {
            self.limits.pass_on(changed);
        }
    }
}
