//! Tests of the queue of requests that wait for room.

mod support;

use std::time::Duration;

use bluebellstage_core::{Revision, TargetId, Time, Tokens};
use bluebellstage_gateway::decide::adapters::residency::ResidencyVersion;
use bluebellstage_gateway::decide::call::Call;
use bluebellstage_gateway::decide::config::{Route, RouteKind};
use bluebellstage_gateway::decide::placement::Pick;
use bluebellstage_gateway::decide::ranked_tokens::{RankClass, RankedTokens};
use bluebellstage_gateway::decide::rendezvous::ShortHash;
use bluebellstage_gateway::decide::tables::{Tables, Ticket};
use bluebellstage_gateway::decide::wait_queue::{
    Contended, Entered, MAX_WAITING, Patience, Room, Standing, Turn, WaitKey, WaitQueue, Waiter,
    WaitingCount, WaitingCounts,
};
use support::{adapter_at, at, config, draft, peer, route, tables, target};

const TIMEOUT: Duration = Duration::from_secs(10);

fn service() -> ShortHash {
    ShortHash::of("writers")
}

fn hash(name: &str) -> ShortHash {
    ShortHash::of(name)
}

fn id(name: &str) -> TargetId {
    TargetId::try_from(name).unwrap()
}

/// A request that arrived at 0 and needs adapter `name`, with a target latency of half a second.
fn waiter(rank: u8, tokens: u64, name: &str) -> Waiter {
    let route = route("draft", "/draft/", "writers", RouteKind::ResumableStream);
    Waiter {
        service: service(),
        rank,
        standing: Standing::Within,
        patience: Patience::of(&route, TIMEOUT, at(0)),
        tokens,
        adapter: Some(hash(name)),
        contended: Contended::Target(hash("e0")),
        starts_at: at(0),
    }
}

fn enter(queue: &mut WaitQueue, waiter: Waiter) -> WaitKey {
    match queue.enter(waiter, at(0)) {
        Entered::Waits { key, .. } => key,
        Entered::QueueFull => panic!("queue is full"),
    }
}

/// Lets all that may find room try and fail. Returns them in order.
fn tries(queue: &mut WaitQueue, room: &Room, now: Time) -> Vec<WaitKey> {
    queue.room_came(room);
    let mut tried = Vec::new();
    while let Some(key) = queue.next(service(), now) {
        assert_eq!(queue.next(service(), now), None, "two try at once");
        tried.push(key);
        let waiter = *queue.get(key).unwrap();
        queue.found_no_room(key, waiter, now);
    }
    tried
}

#[test]
fn earlier_ranks_then_those_in_time_then_shorter_ones_then_older_ones_come_first() {
    let mut queue = WaitQueue::default();
    let late = Waiter {
        starts_at: at(900),
        ..waiter(0, 10, "a1")
    };
    let beyond = Waiter {
        standing: Standing::Beyond,
        ..waiter(0, 1, "a2")
    };
    let later_rank = enter(&mut queue, waiter(2, 1, "a3"));
    let beyond = enter(&mut queue, beyond);
    let late = enter(&mut queue, late);
    let long = enter(&mut queue, waiter(0, 900, "a4"));
    let short = enter(&mut queue, waiter(0, 100, "a5"));
    let tried = tries(&mut queue, &Room::Anywhere, at(1));
    assert_eq!(tried, [short, long, late, beyond, later_rank]);
}

/// Guards against requests that wait behind one for another engine's adapter.
#[test]
fn only_those_that_compete_for_the_same_adapter_wait_on_after_a_failed_try() {
    let mut queue = WaitQueue::default();
    let first = enter(&mut queue, waiter(0, 100, "a1"));
    let _same = enter(&mut queue, waiter(0, 200, "a1"));
    let other = enter(&mut queue, waiter(1, 300, "a2"));
    assert_eq!(tries(&mut queue, &Room::Anywhere, at(1)), [first, other]);
    assert_eq!(tries(&mut queue, &Room::At(id("e7")), at(1)), []);
    assert_eq!(
        tries(&mut queue, &Room::At(id("e0")), at(1)),
        [first, other]
    );
}

/// Guards against a queue that stands still because the request that was woken is gone.
#[test]
fn the_next_one_tries_when_one_that_tries_leaves() {
    let mut queue = WaitQueue::default();
    let first = enter(&mut queue, waiter(0, 100, "a1"));
    let second = enter(&mut queue, waiter(0, 200, "a1"));
    queue.room_came(&Room::Anywhere);
    assert_eq!(queue.next(service(), at(1)), Some(first));
    queue.leave(first);
    assert_eq!(queue.next(service(), at(1)), Some(second));
}

/// Guards against later ranks that never get room.
#[test]
fn one_that_has_waited_for_long_comes_with_the_first_rank() {
    let mut queue = WaitQueue::default();
    let old = enter(&mut queue, waiter(9, 10, "a1"));
    let fresh = Waiter {
        patience: Patience::of(
            &route("draft", "/draft/", "writers", RouteKind::ResumableStream),
            TIMEOUT,
            at(990),
        ),
        starts_at: at(5_000),
        ..waiter(0, 900, "a2")
    };
    let fresh = enter(&mut queue, fresh);
    assert_eq!(tries(&mut queue, &Room::Anywhere, at(700))[0], fresh);
    assert_eq!(tries(&mut queue, &Room::Anywhere, at(1_000))[0], old);
}

/// Guards against memory that grows with the callers that wait.
#[test]
fn a_full_queue_keeps_those_that_come_first() {
    let mut queue = WaitQueue::default();
    for tokens in 0..u64::try_from(MAX_WAITING).unwrap() {
        enter(&mut queue, waiter(1, tokens, "a1"));
    }
    let worse = queue.enter(waiter(2, 1, "a1"), at(0));
    assert_eq!(worse, Entered::QueueFull);
    let better = queue.enter(waiter(0, 1, "a1"), at(0));
    let Entered::Waits { displaced, .. } = better else {
        panic!("refused");
    };
    let displaced = displaced.unwrap();
    assert!(queue.is_displaced(displaced));
    queue.leave(displaced);
    assert_eq!(queue.position(&waiter(9, 0, "a1"), at(0)), MAX_WAITING);
}

/// A service with urgent drafts of 0.5 s and overnight ones of 2 s, and one engine that processes 10 tokens a ms.
fn writers() -> Tables {
    let mut tables = tables();
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
    add_engine(&mut tables, "e0");
    tables
}

fn add_engine(tables: &mut Tables, name: &str) {
    let engine = target(name, "writers");
    tables.registry.put(engine, Revision(1), at(0));
    tables.shards = vec![0, 1, 2, 3];
    let order = ResidencyVersion {
        fencing: 1,
        count: 1,
    };
    let adapters = [adapter_at("a1", 1)];
    tables
        .residency
        .apply_loader_update(&id(name), order, &adapters, at(0));
    send(tables, name, 1_000, at(0), Some(at(100)));
}

/// Sends an urgent prompt that starts at a time, or waits at the engine.
fn send(tables: &mut Tables, engine: &str, tokens: u64, now: Time, starts: Option<Time>) {
    let prompt = (RankClass::default(), tokens);
    let none = RankedTokens::default();
    let key = tables.queues.record_sent(&id(engine), prompt, none, now);
    if let Some(starts) = starts {
        tables.record_started(key, starts);
    }
}

fn urgent(tokens: u64) -> Call {
    Call {
        prompt_tokens: Tokens(tokens),
        ..draft("a1")
    }
}

fn overnight(tokens: u64) -> Call {
    Call {
        path: "/overnight/1".into(),
        ..urgent(tokens)
    }
}

struct Request {
    call: Call,
    ticket: Ticket,
    place: Option<WaitKey>,
}

fn arrive(tables: &mut Tables, call: Call, now: Time) -> Request {
    let mut ticket = tables.admit(&call, 0, now).unwrap();
    ticket.set_patience(TIMEOUT, now);
    Request {
        call,
        ticket,
        place: None,
    }
}

impl Request {
    fn turn(&mut self, tables: &mut Tables, now: Time) -> Turn {
        let pick = tables.pick(&self.ticket, &self.call, &[], 0.5, now);
        let turn = tables.take_turn(self.place, &pick, (&self.ticket, &self.call), false, now);
        match turn {
            Turn::Wait { key, .. } => {
                self.ticket.waits = true;
                self.place = Some(key);
            }
            Turn::TryNow => {
                assert!(matches!(pick, Pick::Send { .. }), "{pick:?}");
                if let Some(key) = self.place.take() {
                    tables.wait_queue.leave(key);
                }
            }
            Turn::Refuse { .. } => {}
        }
        turn
    }
}

fn waits(turn: Turn) -> bool {
    matches!(turn, Turn::Wait { .. })
}

/// Guards against callers that are refused although their engine has room a moment later.
#[test]
fn a_request_waits_while_its_engine_would_begin_it_late_and_goes_when_that_is_idle() {
    let mut tables = writers();
    let prompt = (RankClass::default(), 8_000);
    let queues = &mut tables.queues;
    let ahead = queues.record_sent(&id("e0"), prompt, RankedTokens::default(), at(200));
    let mut request = arrive(&mut tables, urgent(100), at(200));
    assert!(waits(request.turn(&mut tables, at(200))));
    let services = tables.wait_queue.room_came(&Room::At(id("e0")));
    assert_eq!(services, [service()]);
    assert!(tables.wait_queue.next(service(), at(300)).is_some());
    assert!(waits(request.turn(&mut tables, at(300))));
    tables.queues.remove(ahead);
    assert_eq!(request.turn(&mut tables, at(400)), Turn::TryNow);
}

/// Guards against callers that wait for nothing: what is ahead takes longer than a start is useful.
#[test]
fn a_request_that_cannot_begin_in_a_useful_time_is_refused_at_once() {
    let mut tables = writers();
    send(&mut tables, "e0", 30_000, at(200), None);
    let mut request = arrive(&mut tables, urgent(100), at(200));
    let Turn::Refuse { room_in } = request.turn(&mut tables, at(200)) else {
        panic!("not refused");
    };
    let expected = Duration::from_millis(3_010 - 625);
    assert!(
        room_in.abs_diff(expected) < Duration::from_millis(5),
        "{room_in:?}"
    );
}

/// Guards against arrivals that overtake a waiting one of their rank for the same engine, and against ones that wait
/// for a request that is late anyway.
#[test]
fn an_arrival_goes_behind_what_waits_for_the_same_engine_and_is_in_time() {
    let mut tables = writers();
    let mut first = waiter(0, 1, "a1");
    first.patience = Patience::of(
        &route("draft", "/draft/", "writers", RouteKind::ResumableStream),
        TIMEOUT,
        at(200),
    );
    first.starts_at = at(200);
    let key = enter(&mut tables.wait_queue, first);
    let mut second = arrive(&mut tables, urgent(100), at(210));
    assert!(waits(second.turn(&mut tables, at(210))));
    let late = Waiter {
        starts_at: at(2_000),
        ..first
    };
    tables.wait_queue.found_no_room(key, late, at(220));
    assert_eq!(second.turn(&mut tables, at(220)), Turn::TryNow);
}

/// Sets what a peer tells of urgent requests that wait there.
fn tell_waiting(tables: &mut Tables, count: u16, now: Time) {
    let mut waiting = WaitingCounts::default();
    waiting.add(WaitingCount {
        service: service(),
        rank: 0,
        count,
    });
    let mut peer = peer("i1", now);
    peer.waiting = waiting;
    tables.peers.update(peer);
}

/// Guards against overnight work that takes the room that urgent requests at other instances wait for; lost counts
/// hold nothing back for long.
#[test]
fn later_ranks_leave_room_to_earlier_ones_that_wait_elsewhere() {
    let mut tables = writers();
    tell_waiting(&mut tables, 3, at(200));
    let mut held = arrive(&mut tables, overnight(100), at(200));
    assert!(waits(held.turn(&mut tables, at(200))));
    let mut same_rank = arrive(&mut tables, urgent(100), at(200));
    assert_eq!(same_rank.turn(&mut tables, at(200)), Turn::TryNow);
    tell_waiting(&mut tables, 0, at(300));
    assert_eq!(held.turn(&mut tables, at(300)), Turn::TryNow);
    tell_waiting(&mut tables, 3, at(400));
    let mut held = arrive(&mut tables, overnight(100), at(400));
    assert!(waits(held.turn(&mut tables, at(400))));
    // The peer has died: its counts expire.
    assert_eq!(held.turn(&mut tables, at(1_600)), Turn::TryNow);
}

/// Guards against overnight work that starves.
#[test]
fn a_later_rank_is_held_back_only_for_a_part_of_its_useful_time() {
    let mut tables = writers();
    let mut held = arrive(&mut tables, overnight(100), at(0));
    tell_waiting(&mut tables, 3, at(0));
    assert!(waits(held.turn(&mut tables, at(0))));
    tell_waiting(&mut tables, 3, at(2_900));
    assert!(waits(held.turn(&mut tables, at(2_900))));
    tell_waiting(&mut tables, 3, at(3_000));
    assert_eq!(held.turn(&mut tables, at(3_000)), Turn::TryNow);
}

/// A later rank whose route allows no more time is not held back.
#[test]
fn nothing_is_reserved_unless_less_urgent_routes_allow_more_time() {
    let mut tables = writers();
    let mut cfg = config(3);
    cfg.routes.push(Route {
        rank: 2,
        ..route(
            "overnight",
            "/overnight/",
            "writers",
            RouteKind::SingleStream,
        )
    });
    assert!(tables.adopt(cfg, at(0)));
    tell_waiting(&mut tables, 3, at(200));
    let mut request = arrive(&mut tables, overnight(100), at(200));
    assert_eq!(request.turn(&mut tables, at(200)), Turn::TryNow);
}

/// Guards against a peer whose counts hold back everything.
#[test]
fn counts_that_no_queue_can_hold_are_bounded() {
    let mut counts = WaitingCounts::default();
    for rank in [0, 200] {
        counts.add(WaitingCount {
            service: service(),
            rank,
            count: u16::MAX,
        });
    }
    assert!(counts.bound(1));
    assert_eq!(counts.of(service()), u32::try_from(MAX_WAITING).unwrap());
    assert!(!counts.bound(1));
}

/// Guards against an instance that was suspended and then serves those first whose callers have gone.
#[test]
fn after_a_suspension_only_what_is_still_useful_gets_room() {
    let mut tables = writers();
    let prompt = (RankClass::default(), 8_000);
    let queues = &mut tables.queues;
    let ahead = queues.record_sent(&id("e0"), prompt, RankedTokens::default(), at(200));
    let mut gone = arrive(&mut tables, urgent(100), at(200));
    assert!(waits(gone.turn(&mut tables, at(200))));
    tables.queues.remove(ahead);
    send(&mut tables, "e0", 8_000, at(9_000), None);
    let mut fresh = arrive(&mut tables, urgent(200), at(9_000));
    assert!(waits(fresh.turn(&mut tables, at(9_000))));
    assert!(matches!(
        gone.turn(&mut tables, at(9_000)),
        Turn::Refuse { .. }
    ));
}

/// Guards against a request that holds its place after its instance forgot its engine.
#[test]
fn a_waiting_request_goes_on_when_its_engine_is_gone() {
    let mut tables = writers();
    send(&mut tables, "e0", 8_000, at(200), None);
    let mut request = arrive(&mut tables, urgent(100), at(200));
    assert!(waits(request.turn(&mut tables, at(200))));
    tables.registry.remove(&id("e0"), Revision(2), at(300));
    add_engine(&mut tables, "e1");
    assert_eq!(request.turn(&mut tables, at(300)), Turn::TryNow);
}
