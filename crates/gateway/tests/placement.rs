//! Tests of the choice of a target.

mod support;

use std::time::Duration;

use bluebellstage_core::{AdapterVersion, Revision, TargetId, Time};
use bluebellstage_gateway::decide::adapters::loader::AdapterSlots;
use bluebellstage_gateway::decide::adapters::residency::ResidencyVersion;
use bluebellstage_gateway::decide::adapters::versions::MAX_ANNOUNCEMENT_AGE;
use bluebellstage_gateway::decide::call::Call;
use bluebellstage_gateway::decide::config::{Route, RouteKind};
use bluebellstage_gateway::decide::health::TargetOutcome;
use bluebellstage_gateway::decide::peers::Load;
use bluebellstage_gateway::decide::placement::Pick;
use bluebellstage_gateway::decide::ranked_tokens::{RankClass, RankedTokens};
use bluebellstage_gateway::decide::rendezvous::ShortHash;
use bluebellstage_gateway::decide::tables::{Refusal, Tables, shard_of};
use support::{adapter, adapter_at, at, call, config, draft, peer, route, tables, target};

fn id(name: &str) -> TargetId {
    TargetId::try_from(name).unwrap()
}

fn add_writers(tables: &mut Tables, count: usize) {
    for idx in 0..count {
        let target = target(&format!("e{idx}"), "writers");
        tables.residency.apply_registration(&target, at(0));
        tables.registry.put(target, Revision(1), at(0));
    }
    tables.shards = vec![0, 1, 2, 3];
}

fn set_resident(tables: &mut Tables, engine: &str, name: &str, version: u64) {
    let order = ResidencyVersion {
        fencing: 1,
        count: version,
    };
    let adapters = [adapter_at(name, version)];
    tables
        .residency
        .apply_loader_update(&id(engine), order, &adapters, at(0));
}

fn pick(tables: &mut Tables, call: &Call, draw: f64, now: Time) -> Pick {
    let ticket = tables.admit(call, 0, now).unwrap();
    tables.pick(&ticket, call, &[], draw, now)
}

/// A prompt of 1,000 tokens whose rank comes after `earlier` other ones.
fn prompt(earlier: usize) -> (RankClass, u64) {
    (RankClass::after(earlier), 1_000)
}

fn sent_to(pick: &Pick) -> &str {
    match pick {
        Pick::Send { target, .. } => target.as_str(),
        other => panic!("not sent: {other:?}"),
    }
}

#[test]
fn a_draft_goes_to_the_engine_that_holds_its_adapter() {
    let mut tables = tables();
    add_writers(&mut tables, 9);
    set_resident(&mut tables, "e4", "a1", 1);
    let pick = pick(&mut tables, &draft("a1"), 0.5, at(1));
    assert_eq!(sent_to(&pick), "e4");
}

#[test]
fn all_instances_load_an_adapter_on_the_same_engine() {
    let mut tables = tables();
    add_writers(&mut tables, 9);
    let first = pick(&mut tables, &draft("a1"), 0.1, at(1));
    let second = pick(&mut tables, &draft("a1"), 0.9, at(1));
    assert!(matches!(first, Pick::Load(_)));
    assert_eq!(first, second);
}

/// Guards against overloading one engine: 75 instances receive each other's updates three times a
/// second and all chose the first engine with free capacity.
#[test]
fn replicas_of_a_hot_adapter_are_chosen_by_free_capacity() {
    let mut tables = tables();
    add_writers(&mut tables, 3);
    for engine in ["e0", "e1", "e2"] {
        set_resident(&mut tables, engine, "a1", 1);
    }
    let mut counts = std::collections::BTreeMap::<String, u32>::new();
    for draw in 0..100 {
        let pick = pick(&mut tables, &draft("a1"), f64::from(draw) / 100.0, at(1));
        *counts.entry(sent_to(&pick).into()).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count >= 30), "{counts:?}");
}

#[test]
fn a_full_engine_still_gets_requests_and_a_replica_is_requested() {
    let mut tables = tables();
    add_writers(&mut tables, 3);
    set_resident(&mut tables, "e1", "a1", 1);
    for _ in 0..4 {
        tables.start_request(&id("e1"), at(0));
    }
    let Pick::Send {
        target, load_at, ..
    } = pick(&mut tables, &draft("a1"), 0.5, at(1))
    else {
        panic!("not sent");
    };
    assert_eq!(target, id("e1"));
    assert_eq!(load_at.len(), 1);
    assert_ne!(load_at[0], id("e1"));
}

/// Guards against requests that run on old weights long after the operators were told that the new
/// ones are in force.
#[test]
fn an_old_version_gets_no_requests_after_its_grace_period() {
    let mut tables = tables();
    add_writers(&mut tables, 2);
    set_resident(&mut tables, "e0", "a1", 1);
    tables
        .versions
        .announce(&adapter_at("a1", 2), Duration::ZERO, at(0));
    let early = pick(&mut tables, &draft("a1"), 0.5, at(1_000));
    assert!(matches!(&early, Pick::Send { load_at, .. } if load_at == &[id("e1")]));
    let late = pick(&mut tables, &draft("a1"), 0.5, at(3_000));
    assert_eq!(late, Pick::Load(id("e1")));
    set_resident(&mut tables, "e1", "a1", 2);
    let Pick::Send { version, .. } = pick(&mut tables, &draft("a1"), 0.5, at(3_001)) else {
        panic!("not sent");
    };
    assert_eq!(version, Some(AdapterVersion(2)));
}

/// Guards against a further announcement that renews the grace period of a version which lost it
/// long ago.
#[test]
fn a_second_announcement_does_not_renew_the_first_versions_grace_period() {
    let mut tables = tables();
    add_writers(&mut tables, 2);
    set_resident(&mut tables, "e0", "a1", 1);
    tables
        .versions
        .announce(&adapter_at("a1", 2), Duration::ZERO, at(0));
    tables
        .versions
        .announce(&adapter_at("a1", 3), Duration::ZERO, at(6_000));
    let pick = pick(&mut tables, &draft("a1"), 0.5, at(6_100));
    assert_eq!(pick, Pick::Load(id("e1")));
    let by = tables
        .versions
        .start_deadline(&adapter("a1"), AdapterVersion(1));
    assert!(by.is_some_and(|by| by < at(5_000)));
}

/// Guards against a new grace period for an old version at each instance that learns late of its
/// successor, or restarts.
#[test]
fn the_grace_period_starts_when_a_version_is_announced_not_received() {
    let mut first = tables();
    let key = adapter("a1");
    first
        .versions
        .announce(&adapter_at("a1", 2), Duration::ZERO, at(1_000));
    let mut copied = tables();
    for news in first.versions.all(at(4_000)) {
        let adapter = &news.adapter;
        copied.versions.announce(adapter, news.age, at(50_000));
    }
    let by = copied.versions.start_deadline(&key, AdapterVersion(1));
    assert_eq!(by, Some(at(50_800)));
    let mut restarted = tables();
    restarted
        .versions
        .announce(&adapter_at("a1", 2), MAX_ANNOUNCEMENT_AGE, at(50_000));
    let versions = &restarted.versions;
    assert!(!versions.may_start(&key, AdapterVersion(1), Duration::ZERO, at(50_000)));
}

/// Guards against an older announcement that is received after a newer one.
#[test]
fn announcements_received_out_of_order_keep_their_ages() {
    let mut tables = tables();
    let key = adapter("a1");
    let versions = &mut tables.versions;
    let age = Duration::from_secs(2);
    assert!(versions.announce(&adapter_at("a1", 3), Duration::ZERO, at(10_000)));
    assert!(!versions.announce(&adapter_at("a1", 2), age, at(10_000)));
    assert_eq!(versions.newest(&key), Some(AdapterVersion(3)));
    let by = |version| versions.start_deadline(&key, AdapterVersion(version));
    assert_eq!(by(1), Some(at(11_800)));
    assert_eq!(by(2), Some(at(13_800)));
    assert_eq!(by(3), None);
}

/// Guards against a request that runs on old weights 5.1 s after the new ones were announced. It
/// was sent in time, but waited behind others' prompts at an engine with a long queue.
#[test]
fn an_old_version_gets_no_request_that_would_wait_past_its_grace_period() {
    let mut tables = tables();
    add_writers(&mut tables, 2);
    set_resident(&mut tables, "e0", "a1", 1);
    tables
        .versions
        .announce(&adapter_at("a1", 2), Duration::ZERO, at(0));
    let soon = pick(&mut tables, &draft("a1"), 0.5, at(1_500));
    assert_eq!(sent_to(&soon), "e0");
    let waiting = tables
        .queues
        .record_sent(&id("e0"), prompt(0), RankedTokens::default(), at(100));
    let slow = pick(&mut tables, &draft("a1"), 0.5, at(1_500));
    assert_eq!(slow, Pick::Load(id("e1")));
    tables.record_started(waiting, at(1_600));
    let remembered = pick(&mut tables, &draft("a1"), 0.5, at(1_700));
    assert_eq!(remembered, Pick::Load(id("e1")));
}

/// Guards against the same failure if the newer version is announced only after the request was
/// sent.
#[test]
fn a_request_that_has_not_started_on_an_old_version_is_withdrawn_in_time() {
    let mut tables = tables();
    let key = adapter("a1");
    let by = |tables: &Tables, version| {
        let versions = &tables.versions;
        versions.start_deadline(&key, AdapterVersion(version))
    };
    assert_eq!(by(&tables, 1), None);
    tables
        .versions
        .announce(&adapter_at("a1", 2), Duration::ZERO, at(1_000));
    let promised = at(1_000) + Duration::from_secs(5);
    assert!(by(&tables, 1).is_some_and(|by| by + Duration::from_secs(1) < promised));
    assert_eq!(by(&tables, 2), None);
}

/// Guards against dozens of requests for a hot adapter that is loaded late: all were refused at
/// once, repeatedly, and used up the retry budget.
#[test]
fn one_request_probes_an_adapter_that_was_found_missing() {
    let mut tables = tables();
    add_writers(&mut tables, 1);
    set_resident(&mut tables, "e0", "a1", 1);
    let key = adapter("a1");
    tables.residency.record_missing(&id("e0"), &key, at(0));
    assert!(matches!(
        pick(&mut tables, &draft("a1"), 0.5, at(10)),
        Pick::Load(_)
    ));
    assert_eq!(sent_to(&pick(&mut tables, &draft("a1"), 0.5, at(61))), "e0");
    tables.residency.record_sent(&id("e0"), &key, at(61));
    assert!(matches!(
        pick(&mut tables, &draft("a1"), 0.5, at(62)),
        Pick::Load(_)
    ));
    tables.residency.record_success(&id("e0"), &key);
    assert_eq!(sent_to(&pick(&mut tables, &draft("a1"), 0.5, at(63))), "e0");
}

/// Guards against late responses to all requests under heavy load: engines accept all requests, and
/// each one waits behind a second of others' prompts.
#[test]
fn a_request_that_would_start_too_late_is_refused_immediately() {
    let mut tables = tables();
    add_writers(&mut tables, 1);
    set_resident(&mut tables, "e0", "a1", 1);
    let known = tables
        .queues
        .record_sent(&id("e0"), prompt(0), RankedTokens::default(), at(0));
    tables.record_started(known, at(100));
    for _request in 0..6 {
        tables
            .queues
            .record_sent(&id("e0"), prompt(0), RankedTokens::default(), at(200));
    }
    assert_eq!(
        sent_to(&pick(&mut tables, &draft("a1"), 0.5, at(201))),
        "e0"
    );
    for _request in 0..3 {
        tables
            .queues
            .record_sent(&id("e0"), prompt(0), RankedTokens::default(), at(201));
    }
    let late = pick(&mut tables, &draft("a1"), 0.5, at(202));
    let Pick::Late { excess, .. } = late else {
        panic!("not refused: {late:?}");
    };
    let expected = Duration::from_millis(900 - 625);
    assert!(
        excess.abs_diff(expected) < Duration::from_millis(2),
        "{excess:?}"
    );
}

/// Adds a route of a later rank to the drafts of rank 0.
fn add_overnight_route(tables: &mut Tables) {
    let mut cfg = config(2);
    cfg.routes.push(Route {
        rank: 2,
        target_latency: Duration::from_secs(2),
        ..route(
            "overnight",
            "/overnight/",
            "writers",
            RouteKind::SingleStream,
        )
    });
    assert!(tables.adopt(cfg, at(0)));
}

/// Guards against urgent requests that are refused because of overnight prompts, which engines process after them.
#[test]
fn overnight_prompts_at_every_engine_delay_no_urgent_request() {
    let mut tables = tables();
    add_overnight_route(&mut tables);
    add_writers(&mut tables, 3);
    for engine in ["e0", "e1", "e2"] {
        set_resident(&mut tables, engine, "a1", 1);
        let known =
            tables
                .queues
                .record_sent(&id(engine), prompt(0), RankedTokens::default(), at(0));
        tables.record_started(known, at(100));
        let load = Load {
            requests: 1,
            prompts: RankedTokens::of(RankClass::after(1), 18_000),
        };
        let mut other = peer("i1", at(200));
        other.in_flight = tables
            .peers
            .get(&other.member.name)
            .map_or_else(std::collections::HashMap::new, |known| {
                known.in_flight.clone()
            });
        other.in_flight.insert(ShortHash::of(engine), load);
        tables.peers.update(other);
        for _overnight in 0..2 {
            tables
                .queues
                .record_sent(&id(engine), prompt(1), RankedTokens::default(), at(200));
        }
    }
    let urgent = draft("a1");
    let overnight = Call {
        path: "/overnight/1".into(),
        ..draft("a1")
    };
    assert!(matches!(
        pick(&mut tables, &urgent, 0.5, at(201)),
        Pick::Send { .. }
    ));
    assert!(matches!(
        pick(&mut tables, &overnight, 0.5, at(201)),
        Pick::Send { .. }
    ));
    for engine in ["e0", "e1", "e2"] {
        for _overnight in 0..6 {
            tables
                .queues
                .record_sent(&id(engine), prompt(1), RankedTokens::default(), at(201));
        }
    }
    assert!(matches!(
        pick(&mut tables, &urgent, 0.5, at(202)),
        Pick::Send { .. }
    ));
    assert!(matches!(
        pick(&mut tables, &overnight, 0.5, at(202)),
        Pick::Late { .. }
    ));
}

/// Guards against a hot adapter's engine that processes prompts for seconds while others idle: only
/// a fifth of its slots was taken, so it did not count as full.
#[test]
fn an_engine_with_a_long_prompt_queue_counts_as_full() {
    let mut tables = tables();
    add_writers(&mut tables, 3);
    for engine in ["e0", "e1"] {
        set_resident(&mut tables, engine, "a1", 1);
        let known =
            tables
                .queues
                .record_sent(&id(engine), prompt(0), RankedTokens::default(), at(0));
        tables.record_started(known, at(100));
    }
    for _request in 0..5 {
        tables
            .queues
            .record_sent(&id("e0"), prompt(0), RankedTokens::default(), at(200));
    }
    for draw in [0.0, 0.5, 0.99] {
        assert_eq!(
            sent_to(&pick(&mut tables, &draft("a1"), draw, at(201))),
            "e1"
        );
    }
    for _request in 0..6 {
        tables
            .queues
            .record_sent(&id("e1"), prompt(0), RankedTokens::default(), at(201));
    }
    let Pick::Send { load_at, .. } = pick(&mut tables, &draft("a1"), 0.5, at(202)) else {
        panic!("not sent");
    };
    assert_eq!(load_at, [id("e2")]);
}

fn set_adapter_slots(tables: &mut Tables, engine: &str, free: u8, waiting_adapters: u8) {
    let slots = AdapterSlots {
        free,
        waiting_adapters,
        host_copies: 36,
        is_silent: false,
    };
    tables
        .loads
        .adapter_slots
        .insert(ShortHash::of(engine), slots);
}

/// Returns the engine that all instances send load requests for the adapter to, and the others in
/// some order.
fn first_and_others(tables: &mut Tables) -> (String, Vec<String>) {
    let Pick::Load(first) = pick(tables, &draft("a1"), 0.5, at(0)) else {
        panic!("no load was requested");
    };
    let all = (0..9).map(|idx| format!("e{idx}"));
    let others = all.filter(|name| *name != first.as_str()).collect();
    (first.to_string(), others)
}

/// Guards against requests that wait for a slot on one engine while others have idle ones: 229
/// loads were ordered there and 78 on another one.
#[test]
fn a_missing_adapter_is_loaded_where_a_slot_is_free() {
    let mut tables = tables();
    add_writers(&mut tables, 9);
    let (first, others) = first_and_others(&mut tables);
    set_adapter_slots(&mut tables, &first, 0, 3);
    for other in &others {
        set_adapter_slots(&mut tables, other, 1, 0);
    }
    let Pick::Load(engine) = pick(&mut tables, &draft("a1"), 0.5, at(3_000)) else {
        panic!("no load was requested");
    };
    assert_ne!(engine.as_str(), first);
    set_adapter_slots(&mut tables, engine.as_str(), 0, 4);
    let again = pick(&mut tables, &draft("a1"), 0.5, at(3_100));
    assert_eq!(
        again,
        Pick::Load(engine),
        "the engine chosen first was not kept"
    );
}

/// Guards against loading an adapter from the weight store repeatedly, although an engine that held
/// it a second ago could load it in a tenth of the time.
#[test]
fn a_missing_adapter_is_loaded_where_a_host_copy_exists() {
    let mut tables = tables();
    add_writers(&mut tables, 9);
    let (first, others) = first_and_others(&mut tables);
    set_adapter_slots(&mut tables, &first, 1, 0);
    for other in &others {
        set_adapter_slots(&mut tables, other, 1, 0);
    }
    let order = |count| ResidencyVersion { fencing: 1, count };
    for (count, held) in [(1, vec![adapter_at("a1", 1)]), (2, Vec::new())] {
        let residency = &mut tables.residency;
        residency.apply_loader_update(&id(&others[3]), order(count), &held, at(count));
    }
    let pick = pick(&mut tables, &draft("a1"), 0.5, at(3_000));
    assert_eq!(pick, Pick::Load(id(&others[3])));
}

#[test]
fn no_load_is_requested_where_no_loader_can_be_reached() {
    let mut tables = tables();
    add_writers(&mut tables, 1);
    tables.shards = (0..4)
        .filter(|shard| *shard != shard_of(&id("e0")))
        .collect();
    assert_eq!(pick(&mut tables, &draft("a1"), 0.5, at(1)), Pick::Full);
}

fn add_court_servers(tables: &mut Tables) {
    for name in ["c0", "c1", "c2"] {
        tables
            .registry
            .put(target(name, "court"), Revision(1), at(0));
    }
}

#[test]
fn a_filing_goes_to_the_least_loaded_server() {
    let mut tables = tables();
    add_court_servers(&mut tables);
    tables.start_request(&id("c0"), at(0));
    tables.start_request(&id("c2"), at(0));
    let filing = call("/file/1", Some("key-1"));
    assert_eq!(sent_to(&pick(&mut tables, &filing, 0.5, at(1))), "c1");
}

/// Guards against a server that fails half of its requests while its health check passes.
#[test]
fn a_failing_server_is_ejected_and_tried_again() {
    let mut tables = tables();
    add_court_servers(&mut tables);
    let mut ejected = 0;
    for ms in 0..10 {
        let now = at(ms);
        ejected += u32::from(
            tables
                .health
                .record_outcome(&id("c0"), TargetOutcome::Failure, now),
        );
        for name in ["c1", "c2"] {
            let latency = Duration::from_millis(20);
            tables
                .health
                .record_outcome(&id(name), TargetOutcome::Answer(latency), now);
        }
    }
    assert!(ejected > 0);
    let filing = call("/file/1", Some("key-1"));
    assert_ne!(sent_to(&pick(&mut tables, &filing, 0.5, at(11))), "c0");
    let later = pick(&mut tables, &filing, 0.5, at(20_000));
    assert!(matches!(&later, Pick::Send { target, trial: true, .. } if *target == id("c0")));
}

/// All servers fail alike: refusing everything would serve no request.
#[test]
fn servers_are_used_if_all_of_them_fail() {
    let mut tables = tables();
    add_court_servers(&mut tables);
    for ms in 0..10 {
        for name in ["c0", "c1", "c2"] {
            tables
                .health
                .record_outcome(&id(name), TargetOutcome::Failure, at(ms));
        }
    }
    let filing = call("/file/1", Some("key-1"));
    let picked = pick(&mut tables, &filing, 0.5, at(11));
    assert!(matches!(picked, Pick::Send { .. }), "{picked:?}");
}

/// Registrations expire during a store outage although their servers are still running.
#[test]
fn targets_that_vanish_in_a_store_outage_are_used_until_they_had_time_to_return() {
    let mut tables = tables();
    add_court_servers(&mut tables);
    tables.registry.record_store_failure(at(0));
    tables
        .registry
        .record_store_response(Revision(1), at(4_000));
    tables.registry.replace(Vec::new(), Revision(2), at(4_001));
    let filing = call("/file/1", Some("key-1"));
    assert!(matches!(
        pick(&mut tables, &filing, 0.5, at(5_700)),
        Pick::Send { .. }
    ));
    tables.sweep(at(5_900));
    assert_eq!(pick(&mut tables, &filing, 0.5, at(5_900)), Pick::NoTarget);
}

#[test]
fn a_draining_target_gets_no_new_requests() {
    let mut tables = tables();
    add_court_servers(&mut tables);
    for name in ["c0", "c1"] {
        let mut leaving = target(name, "court");
        leaving.leaving = true;
        tables.registry.put(leaving, Revision(2), at(0));
    }
    let filing = call("/file/1", Some("key-1"));
    assert_eq!(sent_to(&pick(&mut tables, &filing, 0.5, at(1))), "c2");
}

#[test]
fn requests_without_a_configured_route_or_key_are_refused_before_any_charge() {
    let mut tables = tables();
    let refused = |tables: &mut Tables, path, key| tables.admit(&call(path, key), 0, at(0)).err();
    assert_eq!(
        refused(&mut tables, "/none/1", None),
        Some(Refusal::NoRoute)
    );
    assert_eq!(
        refused(&mut tables, "/file/1", None),
        Some(Refusal::UnknownKey)
    );
    tables.routes = std::sync::Arc::default();
    let unknown = refused(&mut tables, "/file/1", Some("key-1"));
    assert_eq!(unknown, Some(Refusal::StoreUnreachable));
}
