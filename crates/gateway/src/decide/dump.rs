//! State of an instance for operators; without keys.

use std::time::Duration;

use bluebellstage_core::{
    FailureDomain, InstanceId, Rate, Revision, ServiceId, TargetId, Time, WorkspaceId,
};
use serde::{Deserialize, Serialize};

use super::health::Standing;
use super::kind::Kind;
use super::limits::RequestRate;
use super::quarantine::Fingerprint;
use super::rendezvous::ShortHash;
use super::status::Role;
use super::tables::Tables;

/// State of an instance.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Dump {
    /// Its name.
    pub instance: InstanceId,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// Whether it takes callers.
    pub stage: Stage,
    /// How it learns what the store tells.
    pub store: StoreLink,
    /// Its calls to the store, by kind of objects.
    pub store_waits: Vec<StoreWaitDump>,
    /// What it does for the news of others.
    pub role: Role,
    /// The relay that it asks for news.
    pub news_from: Option<InstanceId>,
    /// Mean age of what it knows of the others.
    pub news_age_ms: u64,
    /// Instances that ask it for news.
    pub readers: usize,
    /// Version of the configuration in force.
    pub config: Revision,
    /// Revision of its list of targets.
    pub targets_revision: Revision,
    /// Loader shards on which it orders.
    pub shards: Vec<u8>,
    /// Loads from the weight store that it has under way.
    pub loads: u16,
    /// Targets, by name.
    pub targets: Vec<TargetDump>,
    /// The other instances, by name.
    pub peers: Vec<PeerDump>,
    /// Quotas, by name of the workspace.
    pub quotas: Vec<QuotaDump>,
    /// Requests that are refused because targets end under them.
    pub quarantined: Vec<QuarantineDump>,
    /// Requests that were on targets that ended.
    pub suspects: Vec<SuspectDump>,
}

/// Whether an instance takes callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// It knows no configuration yet.
    Starting,
    /// It takes callers.
    Ready,
    /// A planned stop is under way.
    Stopping,
}

/// How an instance learns what the store tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreLink {
    /// It follows the store itself.
    Followed,
    /// It copies from peers that follow it.
    Copied,
    /// The store doesn't answer it.
    Away,
}

/// The calls to the store about one kind of objects.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StoreWaitDump {
    /// The kind.
    pub kind: Kind,
    /// Milliseconds since the open call was made; none: no call is open.
    pub open_ms: Option<u64>,
    /// Milliseconds since the last answer; none: never.
    pub answered_ms: Option<u64>,
}

/// A target as an instance sees it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TargetDump {
    /// Its registered name.
    pub id: TargetId,
    /// Its service.
    pub service: ServiceId,
    /// It takes no new work.
    pub leaving: bool,
    /// Requests a second that it takes from all instances together, if it names a limit.
    pub limit: Option<RequestRate>,
    /// Whether it gets requests by its record.
    pub standing: Standing,
    /// Requests of all instances there, as far as known.
    pub in_flight: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Adapters that can be used there.
    pub adapters: usize,
}

/// A peer as an instance sees it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PeerDump {
    /// Its name.
    pub name: InstanceId,
    /// Milliseconds since it was last heard; none: never.
    pub silent_ms: Option<u64>,
    /// It takes callers.
    pub ready: bool,
    /// The store answers it.
    pub store_answers: bool,
    /// Version of its configuration.
    pub config: Revision,
}

/// A workspace's quota as an instance sees it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct QuotaDump {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Units a second that it has.
    pub rate: Rate,
    /// Units that are left; below zero where charges of peers came in late.
    pub left: i64,
}

/// A request that is refused because targets end under it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct QuarantineDump {
    /// What it is known by.
    pub fingerprint: Fingerprint,
    /// Milliseconds for which it is refused, or known to be.
    pub since_ms: u64,
}

/// A request that was on targets that ended, perhaps by chance.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SuspectDump {
    /// What it is known by.
    pub fingerprint: Fingerprint,
    /// How many of them.
    pub ended: usize,
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl Tables {
    /// State of the instance for operators.
    #[must_use]
    pub fn dump(&self, now: Time) -> Dump {
        Dump {
            instance: self.me.name.clone(),
            failure_domain: self.me.failure_domain.clone(),
            stage: self.stage(),
            store: self.store_link(now),
            store_waits: self.dump_store_waits(now),
            role: self.exchange.role(),
            news_from: self.exchange.source().cloned(),
            news_age_ms: millis(self.news_age(now)),
            readers: self.exchange.readers(),
            config: self.routes.version(),
            targets_revision: self.registry.revision(),
            shards: self.shards.clone(),
            loads: self.loads.under_way,
            targets: self.dump_targets(now),
            peers: self.dump_peers(now),
            quotas: self.quotas.dump(),
            quarantined: self.dump_quarantined(now),
            suspects: self.dump_suspects(),
        }
    }

    fn stage(&self) -> Stage {
        match (self.configured(), self.stopping) {
            (_, true) => Stage::Stopping,
            (true, false) => Stage::Ready,
            (false, false) => Stage::Starting,
        }
    }

    fn store_link(&self, now: Time) -> StoreLink {
        if !self.registry.store_answers(now) {
            StoreLink::Away
        } else if self.follows_store(now) {
            StoreLink::Followed
        } else {
            StoreLink::Copied
        }
    }

    fn dump_store_waits(&self, now: Time) -> Vec<StoreWaitDump> {
        let ago = |when: Option<Time>| when.map(|when| millis(now.since(when)));
        let dumped = self.store_waits.all().map(|(kind, wait)| StoreWaitDump {
            kind,
            open_ms: ago(wait.asked),
            answered_ms: ago(wait.answered),
        });
        dumped.collect()
    }

    fn dump_targets(&self, now: Time) -> Vec<TargetDump> {
        let dumped = self.registry.all().map(|target| {
            let others = self.peers.load(ShortHash::of(target.id.as_str())).requests;
            TargetDump {
                id: target.id.clone(),
                service: target.service.clone(),
                leaving: target.leaving,
                limit: self.limits.get(&target.id),
                standing: self.health.standing(&target.id, now),
                in_flight: self.own_in_flight(&target.id) + others,
                slots: target.slots,
                adapters: self.residency.count(&target.id),
            }
        });
        dumped.collect()
    }

    fn dump_quarantined(&self, now: Time) -> Vec<QuarantineDump> {
        let refused = self.quarantine.refused(now);
        let mut dumped = refused
            .map(|(fingerprint, since)| QuarantineDump {
                fingerprint,
                since_ms: millis(since),
            })
            .collect::<Vec<_>>();
        dumped.sort_by_key(|held| held.fingerprint);
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

    fn dump_peers(&self, now: Time) -> Vec<PeerDump> {
        let dumped = self.peers.all().map(|peer| PeerDump {
            name: peer.member.name.clone(),
            silent_ms: peer.heard.map(|heard| millis(now.since(heard))),
            ready: peer.ready,
            store_answers: peer.store_answers,
            config: peer.config,
        });
        dumped.collect()
    }
}
