//! Processes messages from other instances.

use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::{InstanceId, Time};

use super::message::{Message, UpdateRequest};
use super::upstream::Upstream;
use super::{HeldLiveness, Subscriber};
use crate::decide::peers::{DOWN_THRESHOLD, Peer, RelayReport, StoreVersions};
use crate::decide::relay_update::{Liveness, Loads, RelayUpdate, RelayView, Roster};
use crate::decide::rendezvous::ShortHash;
use crate::decide::status::{Role, Status};
use crate::decide::tables::Tables;
use crate::decide::wait_queue::WaitingCounts;

/// Time since a peer's start within which no instance can have counted what the peer has spent.
const NEW_PEER_PERIOD: Duration = Duration::from_millis(1_500);
/// Maximum difference between the starts of instances that count as started together.
const MAX_START_SKEW: Duration = Duration::from_millis(500);
const MAX_NAMES_PER_REQUEST: usize = 64;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StatusOutcome {
    Applied,
    Stale,
    Unknown,
}

/// Counts of all other instances in a relay's update.
struct Sums {
    loads: Loads,
    waiting: WaitingCounts,
    spent: Vec<(ShortHash, i64)>,
    lag: Duration,
}

impl Tables {
    /// Processes a message. Returns the responses to its sender.
    pub fn receive_message(
        &mut self,
        message: Message,
        from: SocketAddr,
        now: Time,
    ) -> Vec<Message> {
        match message {
            Message::Status {
                status,
                update_request,
            } => self.receive_status(*status, update_request, from, now),
            Message::Statuses(statuses) => self.receive_statuses(&statuses, from, now),
            Message::Update(update) => self.receive_update(*update, from, now),
            Message::Limits(reports) => {
                self.receive_limits(&reports, now);
                Vec::new()
            }
            Message::RosterRequest => {
                vec![Message::Roster(self.exchange.published.roster().clone())]
            }
            Message::Roster(roster) => self.receive_roster(roster),
            Message::MemberInfo(member) => {
                if member.name != self.local.name {
                    self.peers.set_member(*member, now);
                }
                Vec::new()
            }
            Message::SenderInfoRequest => vec![Message::MemberInfo(Box::new(self.local.clone()))],
            Message::MemberInfoRequest(names) => {
                let known = names.iter().filter_map(|name| self.peers.by_hash(*name));
                let known = known.map(|peer| Box::new(peer.member.clone()));
                known.map(Message::MemberInfo).collect()
            }
        }
    }

    fn receive_status(
        &mut self,
        status: Status,
        update_request: UpdateRequest,
        from: SocketAddr,
        now: Time,
    ) -> Vec<Message> {
        let sender = self.peers.by_hash(status.from);
        let Some(peer) = sender.filter(|peer| peer.member.incarnation.0 == status.incarnation)
        else {
            return self.request_sender_info(status.from);
        };
        if peer.member.gossip != from && !status.ended {
            return Vec::new();
        }
        let name = peer.member.name.clone();
        let is_local = peer.member.failure_domain == self.local.failure_domain;
        if self.apply_status(&status, now) == StatusOutcome::Applied && is_local {
            self.update_subscriber(name, status, update_request, now);
        }
        Vec::new()
    }

    /// Updates the subscription of an instance of the local failure domain from its status and its
    /// request.
    fn update_subscriber(
        &mut self,
        name: InstanceId,
        status: Status,
        update_request: UpdateRequest,
        now: Time,
    ) {
        if self.exchange.role != Role::Relay || status.ended {
            self.exchange.subscribers.remove(&name);
            return;
        }
        if update_request == UpdateRequest::None {
            self.exchange.subscribers.remove(&name);
            return;
        }
        let subscriber = Subscriber {
            requested_at: now,
            wants_all: update_request == UpdateRequest::Full,
        };
        self.exchange.subscribers.insert(name.clone(), subscriber);
        // A relay candidate sends its status to the other relays itself.
        if !status.role.receives_all() {
            self.exchange.pending.insert(name, (status, now));
        }
    }

    fn request_sender_info(&self, name: ShortHash) -> Vec<Message> {
        if name == ShortHash::of(self.local.name.as_str()) {
            return Vec::new();
        }
        vec![Message::SenderInfoRequest]
    }

    fn receive_statuses(
        &mut self,
        statuses: &[Status],
        from: SocketAddr,
        now: Time,
    ) -> Vec<Message> {
        if self.peers.at(from).is_none() {
            return vec![Message::SenderInfoRequest];
        }
        member_info_request(self.apply_statuses(statuses, now))
    }

    /// Applies a status that arrived directly or through a relay.
    fn apply_status(&mut self, status: &Status, now: Time) -> StatusOutcome {
        if status.from == ShortHash::of(self.local.name.as_str()) {
            return StatusOutcome::Stale;
        }
        let Some(known) = self.peers.by_hash(status.from) else {
            return StatusOutcome::Unknown;
        };
        if known.member.incarnation.0 != status.incarnation {
            return StatusOutcome::Unknown;
        }
        let age = Duration::from_millis(u64::from(status.age_ms));
        let is_stale = known.last_seen.is_some() && status.seq <= known.seq;
        if is_stale || age >= DOWN_THRESHOLD {
            return StatusOutcome::Stale;
        }
        let member = known.member.clone();
        let last_seen = (now - age).max(known.last_seen.unwrap_or_default());
        let is_counted = self.peers.view().is_none();
        let uptime = Duration::from_millis(u64::from(status.uptime_ms));
        let started_after =
            uptime < NEW_PEER_PERIOD && uptime <= now.since(self.started) + MAX_START_SKEW;
        for spent in &status.spent {
            let incarnation = member.incarnation;
            self.quotas.record_peer_spending(
                &member.name,
                incarnation,
                *spent,
                started_after,
                is_counted,
                now,
            );
        }
        for report in &status.brittle {
            self.brittle.apply(report, now - age);
        }
        self.pace.record_peer(status.from, &status.pace, now);
        if status.ended {
            self.peers.remove(&member.name);
        } else {
            let mut peer = Peer::from_status(member, status, last_seen);
            self.bound_waiting(&mut peer.waiting, 1);
            self.peers.update(peer);
        }
        StatusOutcome::Applied
    }

    fn receive_update(&mut self, update: RelayUpdate, from: SocketAddr, now: Time) -> Vec<Message> {
        let relay = self.peers.by_hash(update.relay.from);
        let relay = relay.filter(|peer| peer.member.incarnation.0 == update.relay.incarnation);
        let Some(relay) = relay else {
            return vec![Message::SenderInfoRequest];
        };
        let name = relay.member.name.clone();
        let upstream = self.exchange.upstream.as_ref();
        let upstream =
            upstream.filter(|upstream| upstream.relay == name && upstream.seq < update.relay.seq);
        let Some(since) = upstream.map(|upstream| upstream.since) else {
            return Vec::new();
        };
        if relay.member.gossip != from || self.exchange.role == Role::Relay {
            return Vec::new();
        }
        self.exchange.upstream = Some(Upstream {
            relay: name.clone(),
            since,
            seq: update.relay.seq,
            last_seen: now,
        });
        let lag = Duration::from_millis(u64::from(update.lag_ms));
        let is_first = self.peers.view().is_none();
        for (workspace, remaining) in update.remaining.iter().filter(|_| is_first) {
            self.quotas.set_remaining(*workspace, *remaining);
        }
        self.pace.record_sums(&update.pace, now);
        let mut waiting = update.waiting;
        self.bound_waiting(&mut waiting, self.sharing_count(now));
        let sums = Sums {
            loads: update.loads,
            waiting,
            spent: update.spent,
            lag,
        };
        self.apply_sums(name, &update.relay, sums, now);
        if self.exchange.role != Role::Subscriber {
            // A relay candidate also receives a status from each instance.
            return Vec::new();
        }
        self.apply_status(&update.relay, now);
        let mut unknown = self.apply_statuses(&update.other_statuses, now);
        let mut responses = Vec::new();
        if let Some(liveness) = update.liveness {
            if liveness.roster == self.exchange.roster_digest {
                unknown.extend(self.apply_liveness(&liveness, &update.relay, now));
            } else {
                self.exchange.reports_without_roster += 1;
                self.exchange.held_liveness = Some(HeldLiveness {
                    liveness,
                    relay: update.relay,
                    received_at: now,
                });
                responses.push(Message::RosterRequest);
            }
        }
        responses.extend(member_info_request(unknown));
        responses
    }

    /// Takes the upstream relay's roster, and applies the report on liveness that waited for it.
    fn receive_roster(&mut self, roster: Roster) -> Vec<Message> {
        self.exchange.roster_digest = roster.digest();
        self.exchange.roster = roster;
        let held = self.exchange.held_liveness.take();
        let digest = self.exchange.roster_digest;
        let Some(held) = held.filter(|held| held.liveness.roster == digest) else {
            return Vec::new();
        };
        let HeldLiveness {
            liveness,
            relay,
            received_at,
        } = held;
        member_info_request(self.apply_liveness(&liveness, &relay, received_at))
    }

    /// Bounds the counts of waiting requests of a number of other instances by what their queues can hold.
    fn bound_waiting(&mut self, counts: &mut WaitingCounts, instances: usize) {
        if counts.bound(instances) {
            self.wait_queue.record_malformed_counts();
        }
    }

    /// Applies statuses. Returns the senders that are unknown.
    fn apply_statuses(&mut self, statuses: &[Status], now: Time) -> Vec<ShortHash> {
        let mut unknown = Vec::new();
        for status in statuses {
            if self.apply_status(status, now) == StatusOutcome::Unknown {
                unknown.push(status.from);
            }
        }
        unknown
    }

    /// Replaces the counts that this instance received directly by a relay's sums.
    fn apply_sums(&mut self, name: InstanceId, relay: &Status, sums: Sums, now: Time) {
        let Sums {
            loads,
            waiting,
            spent,
            lag,
        } = sums;
        let before = self.peers.view().map(|view| (view.relay.clone(), view.at));
        match before {
            // Spending between the last update of one relay and the first of the next is in
            // neither.
            Some((former, at)) if former != name => self.quotas.extrapolate(now.since(at), now),
            Some(_) => {}
            None => self.quotas.reset_peer_baselines(),
        }
        for (workspace, count) in spent {
            let from = (relay.from, relay.incarnation);
            self.quotas.record_relay_count(from, workspace, count, now);
        }
        let targets = self.registry.target_hashes().collect::<Vec<_>>();
        if let Some(loads) = loads.unpack(&targets, self.registry.digest()) {
            self.peers.set_view(Some(RelayView {
                relay: name,
                at: now,
                lag,
                loads,
                waiting,
            }));
        }
    }

    /// Applies a report on the liveness of peers that was received at `at`. Returns the live peers that are unknown.
    fn apply_liveness(&mut self, liveness: &Liveness, relay: &Status, at: Time) -> Vec<ShortHash> {
        let store = StoreVersions {
            config: relay.config,
            targets: relay.targets,
            targets_digest: relay.targets_digest,
            versions: relay.versions,
            evacuations: relay.evacuations,
            quarantine_digest: relay.quarantine_digest,
        };
        let local = ShortHash::of(self.local.name.as_str());
        let mut unknown = Vec::new();
        for (idx, entry) in liveness.entries(&self.exchange.roster) {
            if entry.name == local || entry.name == relay.from {
                continue;
            }
            let known = self.peers.by_hash(entry.name);
            if !known.is_some_and(|peer| entry.is_incarnation(peer.member.incarnation.0)) {
                if liveness.live.get(idx) {
                    unknown.push(entry.name);
                }
                continue;
            }
            let report = RelayReport {
                live: liveness.live.get(idx),
                ready: liveness.ready.get(idx),
                store_reachable: liveness.store_reachable.get(idx),
                lost_services: liveness.lost_services(idx),
                store: liveness.same.get(idx).then_some(store),
            };
            self.peers.apply_relay_report(entry.name, report, at);
        }
        unknown
    }
}

fn member_info_request(mut names: Vec<ShortHash>) -> Vec<Message> {
    names.truncate(MAX_NAMES_PER_REQUEST);
    if names.is_empty() {
        return Vec::new();
    }
    vec![Message::MemberInfoRequest(names)]
}
