//! What a relay tells in each round.

use std::net::SocketAddr;

use bluebellstage_core::Time;

use super::message::{Asks, Message, Telling, own};
use super::{address, millis};
use crate::decide::status::Status;
use crate::decide::tables::Tables;

/// Statuses in one datagram.
const BATCH: usize = 24;

impl Tables {
    pub(super) fn tell_as_relay(&mut self, now: Time) -> Vec<Telling> {
        let status = self.next_status(false, now);
        let full = self.exchange.is_full_round();
        let mut batch = self.held_statuses(now);
        batch.push(status.clone());
        if full {
            // The relays of two domains that are new to each other meet through the others.
            let near = self.near(now).filter(|peer| peer.role.hears_all());
            batch.extend(near.map(|peer| peer.status(now)));
        }
        let away = self.away(now);
        let parts = batch.chunks(BATCH).map(|part| Telling {
            to: away.clone(),
            message: Message::Statuses(part.to_vec()),
        });
        let mut tellings = parts.collect::<Vec<_>>();
        // While it listens, this instance goes on asking a relay for news.
        let source = self.exchange.source().and_then(|name| self.peers.get(name));
        let mut near = self.told_near(full, now);
        if let Some(source) = source {
            near.retain(|to| *to != source.member.gossip);
            tellings.push(Telling {
                to: vec![address(source)],
                message: own(status.clone(), self.asks(&source.member.name, now)),
            });
        }
        tellings.push(Telling {
            to: near,
            message: own(status.clone(), Asks::Nothing),
        });
        tellings.extend(self.news(&status, now));
        tellings
    }

    /// Whom a relay tells its status in its failure domain: the other relays, in a `full` round all.
    pub(super) fn told_near(&self, full: bool, now: Time) -> Vec<SocketAddr> {
        let domain = &self.me.failure_domain;
        if !full {
            return self.relays_of(domain, now).collect();
        }
        let near = self.reachable(now);
        let near = near.filter(|peer| peer.member.failure_domain == *domain);
        near.map(address).collect()
    }

    /// Statuses of those that asked, with the time for which they were held.
    pub(super) fn held_statuses(&mut self, now: Time) -> Vec<Status> {
        let pending = std::mem::take(&mut self.exchange.pending).into_values();
        let held = pending.map(|(status, heard)| Status {
            age_ms: status.age_ms.saturating_add(millis(now.since(heard))),
            ..status
        });
        held.collect()
    }
}
