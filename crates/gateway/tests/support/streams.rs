//! Streams of a simulated fleet: begun at one instance, and continued at others.

use std::time::Duration;

use bluebellstage_gateway::decide::rendezvous::ShortHash;
use bluebellstage_gateway::decide::streams::origins::{
    KnownVersions, LookupOutcome, LookupStep, OriginLookup, OriginMessage, StreamKey, StreamOrigin,
};
use bluebellstage_gateway::packet::Packet;

use super::fleet::Fleet;
use super::software;

/// Time for which origins are kept.
pub const LIFETIME: Duration = Duration::from_secs(16);
const SERVICE: &str = "writers";

/// A stream that began.
#[derive(Clone, Debug)]
pub struct Stream {
    key: StreamKey,
    /// The instance that began it.
    pub instance: usize,
    origin: StreamOrigin,
}

/// Begins streams, numbered from `first`, at random running instances.
pub fn begin(fleet: &mut Fleet, first: usize, count: usize) -> Vec<Stream> {
    let begun = (first..first + count).map(|number| {
        let instance = random_running(fleet);
        let stream = Stream {
            key: StreamKey::of(None, &format!("attempt-{number}")),
            instance,
            origin: StreamOrigin {
                service: ShortHash::of(SERVICE),
                software: software(if number % 2 == 0 { "v1.4" } else { "v1.5" }),
            },
        };
        let now = fleet.now;
        let tables = fleet.tables_mut(instance);
        let origin = stream.origin.clone();
        let (record, replicas) = tables.record_origin(stream.key, origin, LIFETIME, now);
        for replica in replicas {
            let store = OriginMessage::Store(record.clone());
            fleet.send(instance, replica, &Packet::StreamOrigins(store));
        }
        stream
    });
    begun.collect()
}

fn random_running(fleet: &mut Fleet) -> usize {
    loop {
        let idx = fleet.random_below(fleet.len());
        if fleet.is_running(idx) {
            return idx;
        }
    }
}

/// Returns streams of which no instance has heard.
pub fn unheard(count: usize) -> Vec<Stream> {
    let unheard = (0..count).map(|number| Stream {
        key: StreamKey::of(None, &format!("unheard-{number}")),
        instance: 0,
        origin: StreamOrigin {
            service: ShortHash::of(SERVICE),
            software: software("v1"),
        },
    });
    unheard.collect()
}

/// What instances found out about the streams that they continued.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Found {
    /// Streams whose origin was found.
    pub known: usize,
    /// Streams whose origin was not found.
    pub unknown: usize,
    /// Those of them that are refused, as they may have begun at another software version.
    pub refused: usize,
    /// Streams of which a wrong origin was found.
    pub wrong: usize,
    /// Longest time that a lookup took.
    pub longest: Duration,
}

struct Running<'a> {
    stream: &'a Stream,
    instance: usize,
    lookup: OriginLookup,
}

/// Continues streams at random running instances.
pub fn continue_all(fleet: &mut Fleet, streams: &[Stream]) -> Found {
    let instances = streams.iter().map(|_| random_running(fleet));
    let instances = instances.collect::<Vec<_>>();
    let running = look_up(fleet, streams, &instances);
    finish(fleet, running)
}

/// Continues streams at these instances, in turn.
pub fn continue_at(fleet: &mut Fleet, streams: &[Stream], instances: &[usize]) -> Found {
    let running = look_up(fleet, streams, instances);
    finish(fleet, running)
}

/// Begins to look up streams at an instance, which is then suspended for `span`, and finishes.
pub fn continue_suspended(
    fleet: &mut Fleet,
    streams: &[Stream],
    instance: usize,
    span: Duration,
) -> Found {
    let mut running = look_up(fleet, streams, &[instance]);
    for lookup in &mut running {
        assert_eq!(step(fleet, lookup), None);
    }
    fleet.suspend(instance);
    fleet.run(span);
    fleet.resume(instance);
    finish(fleet, running)
}

fn look_up<'a>(fleet: &mut Fleet, streams: &'a [Stream], instances: &[usize]) -> Vec<Running<'a>> {
    let mut running = Vec::new();
    for (stream, instance) in streams.iter().zip(instances.iter().cycle()) {
        let instance = *instance;
        let now = fleet.now;
        let service = ShortHash::of(SERVICE);
        let lookup = fleet
            .tables_mut(instance)
            .begin_lookup(stream.key, service, now);
        running.push(Running {
            stream,
            instance,
            lookup,
        });
    }
    running
}

fn finish(fleet: &mut Fleet, mut running: Vec<Running<'_>>) -> Found {
    let mut found = Found::default();
    let started = fleet.now;
    while !running.is_empty() {
        let mut waiting = Vec::new();
        for mut lookup in running {
            match step(fleet, &mut lookup) {
                None => waiting.push(lookup),
                Some(outcome) => {
                    found.add(&outcome, lookup.stream, fleet.now.since(started));
                    fleet.tables_mut(lookup.instance).end_lookup(&lookup.lookup);
                }
            }
        }
        running = waiting;
        fleet.run_ms(5);
    }
    found
}

fn step(fleet: &mut Fleet, running: &mut Running<'_>) -> Option<LookupOutcome> {
    let now = fleet.now;
    let tables = fleet.tables_mut(running.instance);
    match tables.next_lookup_step(&mut running.lookup, now) {
        LookupStep::End(outcome) => return Some(outcome),
        LookupStep::Wait(_) => {}
        LookupStep::Ask(peers, _) => {
            let query = OriginMessage::Query(running.lookup.query(now));
            let query = Packet::StreamOrigins(query);
            for peer in peers {
                fleet.send(running.instance, peer, &query);
            }
        }
    }
    None
}

impl Found {
    fn add(&mut self, outcome: &LookupOutcome, stream: &Stream, took: Duration) {
        self.longest = self.longest.max(took);
        match outcome {
            LookupOutcome::Found { origin, .. } if *origin == stream.origin => self.known += 1,
            LookupOutcome::Found { .. } => self.wrong += 1,
            LookupOutcome::Unknown { versions } => {
                self.unknown += 1;
                self.refused += usize::from(*versions != KnownVersions::One);
            }
        }
    }

    /// Fraction of the streams whose origin was found.
    pub fn known_fraction(&self) -> f64 {
        let [known, unknown] =
            [self.known, self.unknown].map(|count| u32::try_from(count).unwrap());
        f64::from(known) / f64::from(known + unknown)
    }
}
