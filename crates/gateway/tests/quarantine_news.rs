//! How instances that no word of a verdict reached come to hold it.

mod support;

use std::time::Duration;

use bluebellstage_core::WorkspaceId;
use bluebellstage_gateway::decide::quarantine::{
    AgedDecision, DecisionKind, Fingerprint, QuarantineDecision,
};
use support::fleet::{Fleet, Network};

/// Time in milliseconds after which everyone must hold a verdict, though no word reached it.
const KNOWN_MS: u64 = 3_000;

fn verdict() -> QuarantineDecision {
    let workspace = WorkspaceId::try_from("north").unwrap();
    let request = Fingerprint::of(Some(&workspace), "/draft/1", b"bad");
    QuarantineDecision::next(request, DecisionKind::Refused, None)
}

fn rule(fleet: &mut Fleet, idx: usize) {
    let now = fleet.now;
    let quarantine = &mut fleet.tables_mut(idx).quarantine;
    quarantine.adopt(verdict(), Duration::ZERO, now);
}

/// Pause of an instance before it copies what it lacks.
const COPY_PAUSE_MS: u64 = 300;

/// Lets instances copy from those that they know to hold more, as they do; gives those that hold no
/// verdict after the time.
fn lacking_after(fleet: &mut Fleet, ms: u64) -> Vec<usize> {
    for _ in 0..ms / COPY_PAUSE_MS {
        fleet.run_ms(COPY_PAUSE_MS);
        for idx in 0..fleet.len() {
            copy(fleet, idx);
        }
    }
    let running = (0..fleet.len()).filter(|idx| fleet.runs(*idx));
    let lacking = running.filter(|idx| fleet.tables(*idx).quarantine.digest() == 0);
    lacking.collect()
}

fn copy(fleet: &mut Fleet, idx: usize) {
    let Some(giver) = newer_peer(fleet, idx) else {
        return;
    };
    let now = fleet.now;
    let verdicts = fleet.tables(giver).quarantine.decisions(now);
    let verdicts = verdicts.collect::<Vec<_>>();
    for AgedDecision { decision, age } in verdicts {
        fleet.tables_mut(idx).quarantine.adopt(decision, age, now);
    }
}

/// One of those that an instance knows to hold more.
fn newer_peer(fleet: &Fleet, idx: usize) -> Option<usize> {
    let tables = fleet.tables(idx);
    let live = tables.peers.live(fleet.now);
    let mut newer = live.filter(|peer| tables.is_behind(peer));
    let number = newer.find_map(|peer| peer.member.name.as_str().strip_prefix('i')?.parse().ok());
    number.filter(|peer| fleet.runs(idx) && fleet.runs(*peer))
}

#[test]
fn all_come_to_hold_a_verdict_of_one_instance() {
    for (count, domains) in [(6, 3), (75, 3), (195, 5)] {
        let mut fleet = Fleet::start(count, domains, 7);
        fleet.run_ms(3_000);
        rule(&mut fleet, count / 2);
        let lacking = lacking_after(&mut fleet, KNOWN_MS);
        assert!(lacking.is_empty(), "{count}: {lacking:?}");
    }
}

/// Guards against a verdict that a newcomer, or one that was frozen, never gets.
#[test]
fn who_starts_thaws_or_comes_back_from_a_cut_holds_it() {
    let mut fleet = Fleet::start(60, 3, 11);
    fleet.network = Network::ROUGH;
    fleet.run_ms(3_000);
    let frozen = 17;
    fleet.freeze(frozen);
    fleet.cuts = vec![(0, 1), (0, 2), (1, 0), (2, 0)];
    fleet.run_ms(500);
    rule(&mut fleet, 31);
    fleet.run_ms(4_000);
    fleet.cuts.clear();
    fleet.thaw(frozen);
    fleet.restart(40, true);
    let lacking = lacking_after(&mut fleet, KNOWN_MS);
    assert!(lacking.is_empty(), "{lacking:?}");
}

/// Guards against a verdict that is lost with the relays that knew it.
#[test]
fn it_spreads_while_relays_die() {
    let mut fleet = Fleet::start(60, 3, 13);
    fleet.run_ms(3_000);
    rule(&mut fleet, 31);
    for relay in fleet.relays() {
        if relay != 31 {
            fleet.kill(relay);
        }
    }
    let lacking = lacking_after(&mut fleet, KNOWN_MS);
    assert!(lacking.is_empty(), "{lacking:?}");
}
