//! Requests that are held to the software version that began their stream.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use bluebellstage_core::{FailureDomain, Revision, ServiceId, TargetId};
use bluebellstage_gateway::decide::adapters::loader::AdapterSlots;
use bluebellstage_gateway::decide::health::TargetOutcome;
use bluebellstage_gateway::decide::limits::{ReportedLimit, RequestRate};
use bluebellstage_gateway::decide::placement::Pick;
use bluebellstage_gateway::decide::quarantine::Fingerprint;
use bluebellstage_gateway::decide::ranked_tokens::{RankClass, RankedTokens};
use bluebellstage_gateway::decide::rendezvous::ShortHash;
use bluebellstage_gateway::decide::streams::origins::StreamOrigin;
use bluebellstage_gateway::decide::tables::Tables;
use bluebellstage_gateway::decide::target::Target;
use support::{at, config, draft, engine, peer, software, tables_with_engines};

const OLD: [&str; 2] = ["o1", "o2"];
const NEW: [&str; 2] = ["n1", "n2"];

/// Closes a target to requests.
type Closing = fn(&mut Tables, &TargetId);

fn id(name: &str) -> TargetId {
    TargetId::try_from(name).unwrap()
}

/// Returns an engine whose failure domain is named after its software version.
fn engine_of(name: &str, version: &str, adapters: &[&str]) -> Target {
    Target {
        software: software(version),
        failure_domain: FailureDomain::try_from(version).unwrap(),
        ..engine(name, 1, adapters)
    }
}

/// Returns an instance that knows two engines of each of two versions; `old` holds the adapters of the old ones.
fn tables(old: &[&str], new: &[&str]) -> Tables {
    let engines = OLD.map(|name| engine_of(name, "v1", old));
    let others = NEW.map(|name| engine_of(name, "v2", new));
    let mut tables = tables_with_engines(&[&engines[..], &others].concat());
    tables.peers.update(peer("holder", at(0)));
    tables
}

/// Picks an engine for a request whose stream began at the old version.
fn pick(tables: &mut Tables, tried: &[&str], sample: f64, ms: u64) -> Pick {
    let call = draft("a1");
    let mut ticket = tables.admit(&call, 0, at(ms)).unwrap();
    ticket.software = Some(software("v1"));
    let tried = tried.iter().map(|name| id(name)).collect::<Vec<_>>();
    let request = Fingerprint::of(ticket.workspace.as_ref(), "/draft/1", b"prompt");
    tables.pick_apart(request, &ticket, &call, &tried, sample, at(ms))
}

/// Guards against any reason for which the engines of a version get no requests that lifts the restriction to it.
#[test]
fn nothing_sends_a_begun_stream_to_another_version() {
    let closings: [(&str, Closing); 7] = [
        ("leaving", |tables, target| {
            let leaving = Target {
                leaving: true,
                ..tables.registry.get(target).unwrap().clone()
            };
            tables.registry.put(leaving, Revision(9), at(0));
        }),
        ("unregistered", |tables, target| {
            tables.registry.remove(target, Revision(9), at(0));
        }),
        ("departing", |tables, target| {
            tables.departures.record(target, Some(1), at(0));
        }),
        ("resting", |tables, target| {
            let rest = Duration::from_secs(30);
            tables.rests.record(target, Some(1), rest, at(0));
        }),
        ("limited", |tables, target| {
            let limit = ReportedLimit::Limit(RequestRate::from_milli(0));
            tables.record_reported_limit(target, limit, at(0), at(0));
        }),
        ("ejected", |tables, target| {
            for _ in 0..20 {
                let failure = TargetOutcome::Failure;
                tables.health.record_outcome(target, failure, at(0));
            }
        }),
        ("evacuated", |tables, _target| {
            let domain = BTreeSet::from([FailureDomain::try_from("v1").unwrap()]);
            tables.evacuations.replace(&domain, Revision(9), at(0));
        }),
    ];
    for (name, close) in closings {
        for (old, new) in [(&["a1"][..], &["a1"][..]), (&[], &["a1"]), (&["a1"], &[])] {
            let mut tables = tables(old, new);
            for target in OLD.map(id) {
                close(&mut tables, &target);
            }
            for step in 0..40_u64 {
                let sample = f64::from(u32::try_from(step).unwrap()) / 40.0;
                let ms = 20 * step;
                tables.peers.update(peer("holder", at(ms)));
                let picked = pick(&mut tables, &[], sample, ms);
                if let Pick::Send { target, .. } | Pick::Load(target) = &picked {
                    assert!(OLD.contains(&target.as_str()), "{name}: {picked:?}");
                }
            }
        }
    }
}

/// Guards against a stream that is refused, or goes to another version, because its own lacks the adapter.
#[test]
fn the_adapter_of_a_begun_stream_is_loaded_at_its_version() {
    let mut tables = tables(&[], &["a1"]);
    let Pick::Load(target) = pick(&mut tables, &[], 0.5, 0) else {
        panic!("only the other version holds the adapter");
    };
    assert!(OLD.contains(&target.as_str()), "{target}");
}

/// Guards against a stream that waits for its adapter at an engine that has crashed, though another of its version serves.
#[test]
fn the_adapter_of_a_begun_stream_is_not_loaded_at_a_silent_engine() {
    for silent in OLD {
        let mut tables = tables(&[], &["a1"]);
        let mut holder = peer("holder", at(0));
        let slots = AdapterSlots {
            is_silent: true,
            free: 8,
            ..AdapterSlots::default()
        };
        holder.adapter_slots.insert(ShortHash::of(silent), slots);
        tables.peers.update(holder);
        let Pick::Load(target) = pick(&mut tables, &[], 0.5, 0) else {
            panic!("the other engine can load it");
        };
        assert_ne!(target.as_str(), silent);
    }
}

/// Queues prompts of a tenth of a second at an engine.
fn queue_prompts(tables: &mut Tables, engine: &str, count: usize, ms: u64) {
    let prompt = (RankClass::default(), 1_000);
    for _ in 0..count {
        let queues = &mut tables.queues;
        queues.record_sent(&id(engine), prompt, RankedTokens::default(), at(ms));
    }
}

/// Guards against a begun stream that is refused because its next event would be late for a first one.
#[test]
fn a_begun_stream_goes_on_where_a_new_one_would_begin_too_late() {
    let mut tables = tables(&["a1"], &[]);
    for engine in OLD {
        let queues = &mut tables.queues;
        let prompt = (RankClass::default(), 1_000);
        let sent = queues.record_sent(&id(engine), prompt, RankedTokens::default(), at(0));
        tables.record_started(sent, at(100));
        queue_prompts(&mut tables, engine, 7, 200);
    }
    let pick = |tables: &mut Tables, begun: Option<&str>| {
        let call = draft("a1");
        let mut ticket = tables.admit(&call, 0, at(201)).unwrap();
        ticket.software = begun.map(software);
        ticket.set_patience(Duration::from_secs(10), at(201));
        tables.pick(&ticket, &call, &[], 0.5, at(201))
    };
    assert!(matches!(pick(&mut tables, None), Pick::Late { .. }));
    assert!(matches!(pick(&mut tables, Some("v1")), Pick::Send { .. }));
    for engine in OLD {
        queue_prompts(&mut tables, engine, 6, 201);
    }
    assert!(matches!(pick(&mut tables, Some("v1")), Pick::Late { .. }));
}

/// Guards against a begun stream whose adapter is given up early while many others wait for theirs.
#[test]
fn a_begun_stream_waits_for_its_adapter_while_loading_is_congested() {
    let mut tables = tables(&[], &[]);
    tables.loads.waiting = 1_000;
    let mut ticket = tables.admit(&draft("a1"), 0, at(0)).unwrap();
    assert!(tables.is_load_in_vain(&ticket, at(0)));
    ticket.software = Some(software("v1"));
    assert!(!tables.is_load_in_vain(&ticket, at(0)));
}

/// Guards against a caller that waits for a version that no target has any more.
#[test]
fn a_begun_stream_without_targets_of_its_version_is_refused_at_once() {
    let mut tables = tables(&["a1"], &["a1"]);
    for target in OLD.map(id) {
        tables.registry.remove(&target, Revision(9), at(0));
    }
    assert_eq!(pick(&mut tables, &[], 0.5, 10), Pick::NoTarget);
    let limit = ReportedLimit::Limit(RequestRate::from_milli(0));
    for target in NEW.map(id) {
        tables.record_reported_limit(&target, limit, at(0), at(0));
    }
    assert_eq!(pick(&mut tables, &[], 0.5, 10), Pick::NoTarget);
}

/// Guards against a report that a version is gone while its targets have only refused the request.
#[test]
fn a_version_whose_targets_were_tried_is_not_gone() {
    let mut tables = tables(&["a1"], &["a1"]);
    let mut ticket = tables.admit(&draft("a1"), 0, at(0)).unwrap();
    ticket.software = Some(software("v1"));
    assert_eq!(pick(&mut tables, &OLD, 0.5, 10), Pick::NoTarget);
    assert!(tables.has_serving_target(&ticket, at(10)));
    for target in OLD.map(id) {
        tables.registry.remove(&target, Revision(9), at(10));
    }
    assert!(!tables.has_serving_target(&ticket, at(20)));
}

/// Guards against a restriction that leaves no target but the one that broke the stream off.
#[test]
fn a_begun_stream_goes_on_at_the_other_engine_of_its_version() {
    let mut tables = tables(&["a1"], &["a1"]);
    for [broken, other] in [OLD, [OLD[1], OLD[0]]] {
        let Pick::Send { target, .. } = pick(&mut tables, &[broken], 0.9, 0) else {
            panic!("the other engine holds the adapter");
        };
        assert_eq!(target.as_str(), other);
    }
}

/// Guards against a stream that a route's split sends to another service than the one that began it.
#[test]
fn a_begun_stream_goes_on_at_its_service_of_a_split_route() {
    let mut split = config(2);
    let other = ServiceId::try_from("court").unwrap();
    split.routes[0].split.push((other, 9));
    let mut tables = tables(&["a1"], &["a1"]);
    tables.adopt(split, at(0));
    let origin = |service: &str| StreamOrigin {
        service: ShortHash::of(service),
        software: software("v1"),
    };
    for draw in 0..10 {
        let mut ticket = tables.admit(&draft("a1"), draw, at(0)).unwrap();
        ticket.hold_to(&origin("writers"));
        assert_eq!(ticket.service.as_str(), "writers");
        ticket.hold_to(&origin("no longer routed to"));
        assert_eq!(ticket.service.as_str(), "writers");
        assert_eq!(ticket.software, Some(software("v1")));
    }
}
