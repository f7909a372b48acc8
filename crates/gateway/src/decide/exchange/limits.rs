//! Tells limits that targets name, and counts what all instances send there.

use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};

use super::message::{Message, Telling};
use crate::decide::limits::{Change, LimitWord, REQUEST, Said, budget};
use crate::decide::quota::{Charged, Sharing};
use crate::decide::tables::Tables;

/// Words in one datagram.
const BATCH: usize = 64;

fn batches(words: &[LimitWord], to: &[SocketAddr]) -> Vec<Telling> {
    let parts = words.chunks(BATCH).map(|part| Telling {
        to: to.to_vec(),
        message: Message::Limits(part.to_vec()),
    });
    parts.collect()
}

impl Tables {
    /// Takes in what the answer to a request that was `sent` then says of its target's limit.
    pub fn answer_said(&mut self, target: &TargetId, said: Said, sent: Time, now: Time) -> Change {
        let change = self.limits.heard(target, said, sent, now);
        self.apply_limit(target, change, now);
        change
    }

    fn apply_limit(&mut self, target: &TargetId, change: Change, now: Time) {
        match change {
            Change::Same => {}
            Change::Limited(rate) => {
                let silent = self.unheard_share(now);
                self.quotas.prepare(target, budget(rate), silent, now);
            }
            Change::Over => self.quotas.close(target),
        }
    }

    /// Charges a request to the limit of its target, if it has one; false if that is used up.
    pub(in crate::decide) fn charge_limit(&mut self, target: &TargetId, now: Time) -> bool {
        let Some(rate) = self.limits.of(target) else {
            return true;
        };
        let sharing = Sharing {
            silent: self.unheard_share(now),
            lag: self.news_age(now),
        };
        let no_pause = Duration::ZERO;
        let charged = self
            .quotas
            .charge(target, budget(rate), REQUEST, sharing, no_pause, now);
        charged == Charged::Within
    }

    pub(super) fn tell_limits(&mut self, now: Time) -> Vec<Telling> {
        let own = self.limits.tell_round(now);
        let passed_on = self.limits.pass_on_round(now);
        let mut tellings = batches(&own, &self.fleet(now));
        tellings.extend(batches(&passed_on, &self.readers()));
        tellings
    }

    /// Takes in what another instance heard; a relay passes what is new on to those that ask it.
    pub(super) fn take_limits(&mut self, words: &[LimitWord], now: Time) {
        let mut news = Vec::new();
        for word in words {
            let Some(change) = self.limits.take(word, now) else {
                continue;
            };
            self.apply_limit(&word.target, change, now);
            news.push(word.target.clone());
        }
        if !self.readers().is_empty() {
            self.limits.pass_on(news);
        }
    }
}
