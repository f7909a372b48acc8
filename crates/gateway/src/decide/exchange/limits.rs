//! Tells limits that targets name, and counts what all instances send there.

use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};

use super::message::{Message, Telling};
use crate::decide::limits::{Change, LimitReport, ReportedLimit, UNITS_PER_REQUEST, budget};
use crate::decide::quota::{ChargeOutcome, PeerVisibility};
use crate::decide::tables::Tables;

/// Words in one datagram.
const BATCH: usize = 64;

fn batches(words: &[LimitReport], to: &[SocketAddr]) -> Vec<Telling> {
    let parts = words.chunks(BATCH).map(|part| Telling {
        to: to.to_vec(),
        message: Message::Limits(part.to_vec()),
    });
    parts.collect()
}

impl Tables {
    /// Takes in what the answer to a request that was `sent` then says of its target's limit.
    pub fn answer_said(
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
                let silent = self.unheard_share(now);
                self.quotas.prepare(target, budget(rate), silent, now);
            }
            Change::Lifted => self.quotas.close(target),
        }
    }

    /// Charges a request to the limit of its target, if it has one; false if that is used up.
    pub(in crate::decide) fn charge_limit(&mut self, target: &TargetId, now: Time) -> bool {
        let Some(rate) = self.limits.get(target) else {
            return true;
        };
        let sharing = PeerVisibility {
            silent_fraction: self.unheard_share(now),
            staleness: self.news_age(now),
        };
        let no_pause = Duration::ZERO;
        let charged = self.quotas.charge(
            target,
            budget(rate),
            UNITS_PER_REQUEST,
            sharing,
            no_pause,
            now,
        );
        charged == ChargeOutcome::Accepted
    }

    pub(super) fn tell_limits(&mut self, now: Time) -> Vec<Telling> {
        let own = self.limits.reports_for_round(now);
        let passed_on = self.limits.relayed_reports_for_round(now);
        let mut tellings = batches(&own, &self.fleet(now));
        tellings.extend(batches(&passed_on, &self.readers()));
        tellings
    }

    /// Takes in what another instance heard; a relay passes what is new on to those that ask it.
    pub(super) fn take_limits(&mut self, words: &[LimitReport], now: Time) {
        let mut news = Vec::new();
        for word in words {
            let Some(change) = self.limits.apply(word, now) else {
                continue;
            };
            self.apply_limit(&word.target, change, now);
            news.push(word.target.clone());
        }
        if !self.readers().is_empty() {
            self.limits.queue_relay(news);
        }
    }
}
