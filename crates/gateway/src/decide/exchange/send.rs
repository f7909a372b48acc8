//! Messages that a relay sends in each round.

use std::net::SocketAddr;

use bluebellstage_core::Time;

use super::message::{Message, OutgoingMessage, UpdateRequest, status_message};
use super::{address, millis};
use crate::decide::status::Status;
use crate::decide::tables::Tables;

const MAX_STATUSES_PER_DATAGRAM: usize = 24;

impl Tables {
    pub(super) fn relay_messages(&mut self, now: Time) -> Vec<OutgoingMessage> {
        let status = self.next_status(false, now);
        let full = self.exchange.is_full_round();
        let mut batch = self.take_pending_statuses(now);
        batch.push(status.clone());
        if full {
            // Relays of two failure domains that do not know each other yet learn of each other
            // through the other relays.
            let local_relays = self
                .live_in_domain(now)
                .filter(|peer| peer.role.receives_all());
            batch.extend(local_relays.map(|peer| peer.status(now)));
        }
        let remote = self.remote_recipients(now);
        let parts = batch
            .chunks(MAX_STATUSES_PER_DATAGRAM)
            .map(|part| OutgoingMessage {
                to: remote.clone(),
                message: Message::Statuses(part.to_vec()),
            });
        let mut outgoing = parts.collect::<Vec<_>>();
        // While it listens, a relay candidate still requests updates from a relay.
        let upstream = self
            .exchange
            .upstream()
            .and_then(|name| self.peers.get(name));
        let mut local = self.local_recipients(full, now);
        if let Some(upstream) = upstream {
            local.retain(|to| *to != upstream.member.gossip);
            outgoing.push(OutgoingMessage {
                to: vec![address(upstream)],
                message: status_message(
                    status.clone(),
                    self.update_request(&upstream.member.name, now),
                ),
            });
        }
        outgoing.push(OutgoingMessage {
            to: local,
            message: status_message(status.clone(), UpdateRequest::None),
        });
        outgoing.extend(self.updates(&status, now));
        outgoing
    }

    /// Addresses in the local failure domain to which a relay sends its status: the other relays,
    /// and in a `full` round all instances.
    pub(super) fn local_recipients(&self, full: bool, now: Time) -> Vec<SocketAddr> {
        let domain = &self.local.failure_domain;
        if !full {
            return self.relay_addresses(domain, now).collect();
        }
        let local = self.reachable(now);
        let local = local.filter(|peer| peer.member.failure_domain == *domain);
        local.map(address).collect()
    }

    /// Takes the statuses of subscribers, and adds the time for which they were held to their age.
    pub(super) fn take_pending_statuses(&mut self, now: Time) -> Vec<Status> {
        let pending = std::mem::take(&mut self.exchange.pending).into_values();
        let held = pending.map(|(status, received_at)| Status {
            age_ms: status.age_ms.saturating_add(millis(now.since(received_at))),
            ..status
        });
        held.collect()
    }
}
