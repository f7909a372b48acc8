//! Whom an instance asks for news, and what it goes by while nobody tells it any.

use std::time::Duration;

use bluebellstage_core::{InstanceId, Time};

use super::message::{Asks, Telling, own};
use super::{ROUND, address};
use crate::decide::news::View;
use crate::decide::rendezvous::{name_hash, weight};
use crate::decide::status::Role;
use crate::decide::tables::Tables;

/// Silence of a relay after which another one is asked.
const NEWS_SILENCE: Duration = Duration::from_millis(400);
/// Age of a relay's news from which this instance goes by what it heard itself.
const VIEW_LASTS: Duration = Duration::from_secs(1);
/// Time for which an instance asks a new relay for all counts.
const NEW_READER: Duration = Duration::from_millis(600);

#[derive(Clone, Debug)]
pub(super) struct Source {
    pub(super) relay: InstanceId,
    /// Since when it is asked.
    pub(super) since: Time,
    /// Count of its status in the last news.
    pub(super) seq: u32,
    pub(super) heard: Time,
}

impl Tables {
    /// What one that doesn't relay tells: its status to the relays of its failure domain, or to all if it
    /// hears none.
    pub(super) fn tell_relays(&mut self, now: Time) -> Vec<Telling> {
        self.choose_source(now);
        let stale = |view: &View| now.since(view.at) > VIEW_LASTS;
        if self.peers.view().is_some_and(stale) {
            self.drop_view(now);
        }
        let relays = self.near(now).filter(|peer| peer.role.hears_all());
        let relays = relays
            .map(|peer| (peer.member.name.clone(), address(peer)))
            .collect::<Vec<_>>();
        let tells_all = self.peers.view().is_none() && self.is_due_to_all(now);
        if relays.is_empty() && !tells_all {
            return Vec::new();
        }
        let status = self.next_status(false, now);
        let mut tellings = Vec::new();
        if tells_all {
            self.exchange.told_all = true;
            let mut all = self.to_all(status.clone(), now);
            all.to
                .retain(|to| relays.iter().all(|(_, relay)| relay != to));
            tellings.push(all);
        }
        tellings.extend(relays.into_iter().map(|(name, address)| Telling {
            to: vec![address],
            message: own(status.clone(), self.asks(&name, now)),
        }));
        tellings
    }

    /// Whether all are told now by one whom no relay serves. One that has just started makes itself heard as
    /// soon as it knows anyone.
    fn is_due_to_all(&self, now: Time) -> bool {
        let known = self.reachable(now).next().is_some();
        known && (self.exchange.is_full_round() || !self.exchange.told_all)
    }

    pub(super) fn asks(&self, relay: &InstanceId, now: Time) -> Asks {
        let source = self.exchange.source.as_ref();
        match source.filter(|source| source.relay == *relay) {
            None => Asks::Nothing,
            Some(source) if now.since(source.since) < NEW_READER => Asks::AllNews,
            Some(_) => Asks::News,
        }
    }

    /// Keeps the relay that this instance asks, or takes another one if it fell silent.
    pub(super) fn choose_source(&mut self, now: Time) {
        let relays = self.near(now);
        let relays = relays.filter(|peer| peer.role == Role::Relays);
        let mut relays = relays.map(|peer| &peer.member.name).collect::<Vec<_>>();
        if let Some(source) = &self.exchange.source {
            let speaks = now.since(source.heard) < NEWS_SILENCE;
            if speaks && relays.contains(&&source.relay) {
                return;
            }
            if relays.len() > 1 {
                relays.retain(|relay| **relay != source.relay);
            }
        }
        let me = self.me.name.as_str();
        let next = relays
            .into_iter()
            .max_by_key(|relay| weight(name_hash(relay.as_str()), me));
        self.exchange.source = next.map(|relay| Source {
            relay: relay.clone(),
            since: now,
            seq: 0,
            heard: now,
        });
    }

    pub(super) fn leave_source(&mut self, now: Time) {
        self.exchange.source = None;
        self.drop_view(now);
    }

    /// Goes by what this instance hears itself from now on. What was told to it alone, and not yet to the relay
    /// that summed up, is taken to have been spent as before.
    pub(super) fn drop_view(&mut self, now: Time) {
        let Some(at) = self.peers.view().map(|view| view.at) else {
            return;
        };
        self.peers.set_view(None);
        self.quotas.reset_relay_baseline();
        self.quotas.extrapolate(now.since(at) + ROUND, now);
    }
}
