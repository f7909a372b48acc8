//! State of an instance for operators, without API keys.

mod types;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bluebellstage_core::{InstanceId, Revision, Time};

pub use self::types::{
    Dump, EvacuationDump, MalformedPartDump, PeerDump, QuarantineDump, QuarantinedPartDump,
    QuotaDump, RetryDump, ShareDump, SoftwareDump, Stage, StoreCallDump, StoreLink, SuspectDump,
    SuspectedPartDump, TargetDump, WaitingDump,
};
use super::availability::Availability;
use super::owner::Owner;
use super::quarantine::Suspect;
use super::rendezvous::ShortHash;
use super::store::position::StorePosition;
use super::tables::Tables;
use super::target::Target;
use super::wait_queue::WaitingCounts;

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl Tables {
    /// Returns the state of the instance for operators.
    #[must_use]
    pub fn dump(&self, now: Time) -> Dump {
        let position = StorePosition::from(self.registry.revision());
        Dump {
            instance: self.local.name.clone(),
            failure_domain: self.local.failure_domain.clone(),
            stage: self.stage(),
            store: self.store_link(now),
            store_waits: self.dump_store_calls(now),
            role: self.exchange.role(),
            news_from: self.exchange.upstream().cloned(),
            news_age_ms: millis(self.update_age(now)),
            readers: self.exchange.subscriber_count(),
            config: self.routes.version(),
            malformed_config: self.dump_malformed_config(),
            targets_revision: Revision(position.counter),
            store_era: position.era,
            shards: self.shards.clone(),
            loads: self.loads.active,
            evacuated: self.dump_evacuations(now),
            software: self.dump_software(now),
            stream_origins: self.origins.count(),
            recalled_origins: self.origins.recalled_count(),
            origin_lookups: self.origins.lookup_count(),
            targets: self.dump_targets(now),
            peers: self.dump_peers(now),
            quotas: self.quotas.dump(),
            retries: self.dump_retries(now),
            waiting: self.dump_waiting_with(&self.peers.waiting(now)),
            short_of_room: self.fair_shares.short_services(now),
            shares: self.fair_shares.dump(),
            quarantined: self.dump_quarantined(now),
            suspects: self.dump_suspects(),
            quarantined_parts: self.dump_quarantined_parts(now),
            suspected_parts: self.dump_suspected_parts(),
            memory: None,
        }
    }

    fn dump_malformed_config(&self) -> Vec<MalformedPartDump> {
        let parts = self.routes.config().malformed.iter();
        let dumped = parts.map(|part| MalformedPartDump {
            kind: part.kind,
            name: part.name.clone(),
            cause: part.cause.clone(),
        });
        dumped.collect()
    }

    fn stage(&self) -> Stage {
        match (self.is_prepared(), self.stopping) {
            (_, true) => Stage::Stopping,
            (true, false) => Stage::Ready,
            (false, false) => Stage::Starting,
        }
    }

    fn store_link(&self, now: Time) -> StoreLink {
        if !self.registry.is_store_reachable(now) {
            StoreLink::Away
        } else if self.follows_store(now) {
            StoreLink::Followed
        } else {
            StoreLink::Copied
        }
    }

    fn dump_store_calls(&self, now: Time) -> Vec<StoreCallDump> {
        let ago = |when: Option<Time>| when.map(|when| millis(now.since(when)));
        let dumped = self.store_calls.all().map(|(kind, call)| StoreCallDump {
            kind,
            open_ms: ago(call.open_since),
            answered_ms: ago(call.last_response),
        });
        dumped.collect()
    }

    fn dump_evacuations(&self, now: Time) -> Vec<EvacuationDump> {
        let dumped = self
            .evacuations
            .all(now)
            .map(|(domain, state)| EvacuationDump {
                domain: domain.clone(),
                state,
            });
        dumped.collect()
    }

    /// Returns the targets of each service by software version.
    #[must_use]
    pub fn dump_software(&self, now: Time) -> Vec<SoftwareDump> {
        let mut counts = BTreeMap::<_, (usize, usize)>::new();
        for target in self.registry.all() {
            let count = counts.entry((&target.service, &target.software));
            let (targets, serving) = count.or_default();
            *targets += 1;
            let is_serving = self.availability(target, now) != Availability::Closed;
            *serving += usize::from(is_serving);
        }
        let counts = counts.into_iter();
        let dumped = counts.map(|((service, version), (targets, serving))| SoftwareDump {
            service: service.clone(),
            version: version.clone(),
            targets,
            serving,
        });
        dumped.collect()
    }

    fn dump_targets(&self, now: Time) -> Vec<TargetDump> {
        let dumped = self.registry.all().map(|target| {
            let others = self.peers.load(ShortHash::of(target.id.as_str())).requests;
            TargetDump {
                id: target.id.clone(),
                service: target.service.clone(),
                software: target.software.clone(),
                leaving: target.leaving,
                said_leaving_ms: self.departures.age(target, now).map(millis),
                limit: self.limits.get(&target.id),
                cold_ms: millis(self.cold_time_left(target, now)),
                rest_ms: millis(self.rests.time_left(target, now)),
                max_refusals: self.brittle.max_refusals(target, now),
                owner: self.dump_owner(target, now),
                possible_refusals: self.brittle.possible_refusals(target, now),
                standing: self.health.state(&target.id, now),
                unreachable_ms: self
                    .paths
                    .failing_since(&target.id)
                    .map(|since| millis(now.since(since))),
                in_flight: self.local_in_flight(&target.id) + others,
                slots: target.slots,
                adapters: self.residency.adapter_count(&target.id),
            }
        });
        dumped.collect()
    }

    /// Returns the instance that sends requests to a brittle target.
    fn dump_owner(&self, target: &Target, now: Time) -> Option<InstanceId> {
        self.brittle.max_refusals(target, now)?;
        match self.owner_of(target, now) {
            Owner::Local => Some(self.local.name.clone()),
            Owner::Peer(name) => Some(name),
            Owner::Unknown => None,
        }
    }

    /// Returns the requests of this instance that wait for room.
    #[must_use]
    pub fn dump_waiting(&self) -> Vec<WaitingDump> {
        self.dump_waiting_with(&WaitingCounts::default())
    }

    fn dump_waiting_with(&self, elsewhere: &WaitingCounts) -> Vec<WaitingDump> {
        let here = self.wait_queue.all_counts();
        let services = self.routes.config().services.iter();
        let mut dumped = Vec::new();
        for service in services.map(|service| &service.name) {
            let hash = ShortHash::of(service.as_str());
            let counts = here.iter().chain(elsewhere.iter());
            let ranks = counts.filter(|count| count.service == hash);
            for rank in ranks.map(|count| count.rank).collect::<BTreeSet<_>>() {
                dumped.push(WaitingDump {
                    service: service.clone(),
                    rank,
                    here: here.at(hash, rank),
                    elsewhere: elsewhere.at(hash, rank),
                });
            }
        }
        dumped
    }

    fn dump_quarantined(&self, now: Time) -> Vec<QuarantineDump> {
        let rejected = self.quarantine.refused(now);
        let requests = rejected.filter_map(|(suspect, since)| match suspect {
            Suspect::Request(fingerprint) => Some((fingerprint, since)),
            Suspect::Part(_) => None,
        });
        let mut dumped = requests
            .map(|(fingerprint, since)| QuarantineDump {
                fingerprint,
                since_ms: millis(since),
            })
            .collect::<Vec<_>>();
        dumped.sort_by_key(|request| request.fingerprint);
        dumped
    }

    fn dump_suspects(&self) -> Vec<SuspectDump> {
        let suspected = self.quarantine.suspects();
        let mut dumped = suspected
            .map(|(fingerprint, ended)| SuspectDump { fingerprint, ended })
            .collect::<Vec<_>>();
        dumped.sort_by_key(|suspect| suspect.fingerprint);
        dumped
    }

    fn dump_quarantined_parts(&self, now: Time) -> Vec<QuarantinedPartDump> {
        let rejected = self.quarantine.refused(now);
        let parts = rejected.filter_map(|(suspect, since)| match suspect {
            Suspect::Part(part) => Some((part, since)),
            Suspect::Request(_) => None,
        });
        let mut parts = parts.collect::<Vec<_>>();
        parts.sort();
        let dumped = parts.into_iter().map(|(part, since)| QuarantinedPartDump {
            part: part.to_string().into(),
            since_ms: millis(since),
        });
        dumped.collect()
    }

    fn dump_suspected_parts(&self) -> Vec<SuspectedPartDump> {
        let mut parts = self.quarantine.suspected_parts().collect::<Vec<_>>();
        parts.sort_by_key(|(part, _)| *part);
        let dumped = parts.into_iter().map(|(part, evidence)| SuspectedPartDump {
            part: part.to_string().into(),
            crashes: evidence.crashes,
            evidence_decidigits: evidence.decidigits(),
        });
        dumped.collect()
    }

    fn dump_peers(&self, now: Time) -> Vec<PeerDump> {
        let dumped = self.peers.all().map(|peer| PeerDump {
            name: peer.member.name.clone(),
            silent_ms: peer.last_seen.map(|last_seen| millis(now.since(last_seen))),
            ready: peer.ready,
            store_answers: peer.store_reachable,
            config: peer.config,
        });
        dumped.collect()
    }
}
