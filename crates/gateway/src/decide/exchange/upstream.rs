//! Selects the upstream relay, and falls back to directly received state without one.

use std::time::Duration;

use bluebellstage_core::{InstanceId, Time};

use super::message::{OutgoingMessage, UpdateRequest, status_message};
use super::{ROUND_INTERVAL, address};
use crate::decide::relay_update::RelayView;
use crate::decide::rendezvous::{name_hash, weight};
use crate::decide::status::Role;
use crate::decide::tables::Tables;

/// Time without an update after which another relay is selected.
const RELAY_TIMEOUT: Duration = Duration::from_millis(400);
/// Age of the last update from which this instance uses directly received state instead.
const VIEW_TTL: Duration = Duration::from_secs(1);
/// Time for which an instance requests all counts from a newly selected relay.
const FULL_REQUEST_PERIOD: Duration = Duration::from_millis(600);

#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) relay: InstanceId,
    /// When the relay was selected.
    pub(super) since: Time,
    /// Sequence number of the relay's status in its last update.
    pub(super) seq: u32,
    pub(super) last_seen: Time,
}

impl Tables {
    /// Messages of an instance that does not relay: its status to the relays of its failure domain,
    /// or to all instances if it gets no updates.
    pub(super) fn messages_to_relays(&mut self, now: Time) -> Vec<OutgoingMessage> {
        self.choose_upstream(now);
        let is_stale = |view: &RelayView| now.since(view.at) > VIEW_TTL;
        if self.peers.view().is_some_and(is_stale) {
            self.drop_view(now);
        }
        let relays = self
            .live_in_domain(now)
            .filter(|peer| peer.role.receives_all());
        let relays = relays
            .map(|peer| (peer.member.name.clone(), address(peer)))
            .collect::<Vec<_>>();
        let sends_to_all = self.peers.view().is_none() && self.is_broadcast_due(now);
        if relays.is_empty() && !sends_to_all {
            return Vec::new();
        }
        let status = self.next_status(false, now);
        let mut outgoing = Vec::new();
        if sends_to_all {
            self.exchange.has_sent_to_all = true;
            let mut all = self.status_to_all(status.clone(), now);
            all.to
                .retain(|to| relays.iter().all(|(_, relay)| relay != to));
            outgoing.push(all);
        }
        outgoing.extend(relays.into_iter().map(|(name, address)| OutgoingMessage {
            to: vec![address],
            message: status_message(status.clone(), self.update_request(&name, now)),
        }));
        outgoing
    }

    /// Whether an instance without updates sends its status to all in this round. After a start it
    /// does so as soon as it knows a peer.
    fn is_broadcast_due(&self, now: Time) -> bool {
        let knows_peers = self.reachable(now).next().is_some();
        knows_peers && (self.exchange.is_full_round() || !self.exchange.has_sent_to_all)
    }

    pub(super) fn update_request(&self, relay: &InstanceId, now: Time) -> UpdateRequest {
        let upstream = self.exchange.upstream.as_ref();
        match upstream.filter(|upstream| upstream.relay == *relay) {
            None => UpdateRequest::None,
            Some(upstream) if now.since(upstream.since) < FULL_REQUEST_PERIOD => {
                UpdateRequest::Full
            }
            Some(_) => UpdateRequest::Changes,
        }
    }

    /// Keeps the upstream relay, or selects another one if updates have stopped.
    pub(super) fn choose_upstream(&mut self, now: Time) {
        let relays = self.live_in_domain(now);
        let relays = relays.filter(|peer| peer.role == Role::Relay);
        let mut relays = relays.map(|peer| &peer.member.name).collect::<Vec<_>>();
        if let Some(upstream) = &self.exchange.upstream {
            let is_responsive = now.since(upstream.last_seen) < RELAY_TIMEOUT;
            if is_responsive && relays.contains(&&upstream.relay) {
                return;
            }
            if relays.len() > 1 {
                relays.retain(|relay| **relay != upstream.relay);
            }
        }
        let local_name = self.local.name.as_str();
        let next = relays
            .into_iter()
            .max_by_key(|relay| weight(name_hash(relay.as_str()), local_name));
        self.exchange.upstream = next.map(|relay| Upstream {
            relay: relay.clone(),
            since: now,
            seq: 0,
            last_seen: now,
        });
    }

    pub(super) fn clear_upstream(&mut self, now: Time) {
        self.exchange.upstream = None;
        self.drop_view(now);
    }

    /// Discards the relay's sums and uses directly received state from now on. Spending that peers
    /// sent only to this instance, and that the relay had not summed up yet, is assumed to have
    /// continued at the former rate.
    pub(super) fn drop_view(&mut self, now: Time) {
        let Some(at) = self.peers.view().map(|view| view.at) else {
            return;
        };
        self.peers.set_view(None);
        self.quotas.reset_relay_baseline();
        self.quotas.extrapolate(now.since(at) + ROUND_INTERVAL, now);
    }
}
