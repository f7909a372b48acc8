//! Tests of changes during an outage of the store, in virtual time.

mod support;

use std::ops::Range;
use std::time::Duration;

use bluebellstage_core::{FailureDomain, Revision};
use bluebellstage_gateway::decide::evacuations::DRAIN_PERIOD;
use bluebellstage_gateway::decide::store::follower::Follower;
use bluebellstage_gateway::edge::{Content, Kind};
use support::store::{Fault, ScriptedStore, follow_for};
use support::{adapter_at, config, target};

/// Time after the store's recovery for which no bound holds.
const BOUNDS_SUSPENDED: Duration = Duration::from_secs(3);
/// Time in which the other instances copy what a follower has received.
const COPY_TIME: Duration = Duration::from_secs(1);
/// Time from an announcement within which requests may still start on an older version, as counted
/// by an instance that receives the announcement.
const OLD_VERSION_GRACE: Duration = Duration::from_millis(3_800);
/// When the store accepts a change just before the outage.
const CHANGED_AT: Duration = Duration::from_millis(4_900);
/// Lengths of the outage: from shorter than any wait to as long as real outages.
const OUTAGE_LENGTHS: [Duration; 4] = [
    Duration::from_millis(250),
    Duration::from_millis(900),
    Duration::from_millis(2_500),
    Duration::from_secs(6),
];
/// Starts of the outage after the change, so that watches begin before, during and after it.
const START_COUNT: u32 = 22;
const START_INTERVAL: Duration = Duration::from_millis(100);

/// A change of a kind that instances follow; `second` selects the newer one.
fn change(kind: Kind, second: bool) -> Content {
    let version = 1 + u64::from(second);
    match kind {
        Kind::Targets => {
            let mut target = target("c1", "court");
            target.leaving = second;
            Content::Target(Box::new(target))
        }
        Kind::AdapterVersions => Content::AdapterVersion(adapter_at("a1", 1 + version)),
        Kind::Evacuations => {
            let domain = if second { "south" } else { "north" };
            Content::Evacuation(FailureDomain::try_from(domain).unwrap())
        }
        _ => Content::Config(Box::new(config(1 + version))),
    }
}

/// Time for which the instance runs after the store's recovery.
const RUN_AFTER_RECOVERY: Duration = Duration::from_secs(5);

/// Returns the time from the store's recovery to the arrival of the second of two changes. The
/// first change is made just before the outage and the second during it.
fn arrival_delay(kind: Kind, fault: Fault, outage: &Range<Duration>) -> Option<Duration> {
    let store = follow_for(outage.end + RUN_AFTER_RECOVERY, || {
        let first = Content::Config(Box::new(config(1)));
        let script = vec![
            (Kind::Config, first, Duration::ZERO),
            (kind, change(kind, false), CHANGED_AT),
            (kind, change(kind, true), outage.end),
        ];
        ScriptedStore::new(fault, outage.clone(), script)
    });
    let sent_at = store.first_sent(Revision(3));
    sent_at.map(|sent_at| sent_at.saturating_sub(outage.end))
}

/// Time from the store's recovery within which an instance must receive the changes of the outage.
fn bound(kind: Kind) -> Duration {
    let bound = match kind {
        // The store acknowledges the change at its recovery, so it must be in force when bounds
        // hold again.
        Kind::Config => BOUNDS_SUSPENDED,
        // Five seconds, from when bounds hold again.
        Kind::AdapterVersions => {
            let grace_left = Duration::from_secs(5).saturating_sub(OLD_VERSION_GRACE);
            BOUNDS_SUSPENDED + grace_left
        }
        // Five seconds, from when bounds hold again.
        Kind::Evacuations => {
            let drain_left = Duration::from_secs(5).saturating_sub(DRAIN_PERIOD);
            BOUNDS_SUSPENDED + drain_left
        }
        // Two seconds, from when bounds hold again.
        _ => BOUNDS_SUSPENDED + Duration::from_secs(2),
    };
    bound.saturating_sub(COPY_TIME)
}

/// Returns the outages after which the change arrived too late, with its delay.
fn late_arrivals(kind: Kind, fault: Fault) -> Vec<(Range<Duration>, Option<Duration>)> {
    let starts = (0..START_COUNT).map(|idx| CHANGED_AT + START_INTERVAL * idx);
    let spans = starts.flat_map(|start| OUTAGE_LENGTHS.map(|length| start..start + length));
    let arrivals = spans.map(|outage| (outage.clone(), arrival_delay(kind, fault, &outage)));
    arrivals
        .filter(|(_, delay)| delay.is_none_or(|delay| delay > bound(kind)))
        .collect()
}

/// Guards against an old configuration for many seconds after an outage: callers with new keys get
/// 401 on every instance, and requests follow routes that were replaced. A change is in force and
/// the instance watches for the next one just as the outage begins. The store accepts the next
/// change when it recovers, but never responds to a call that started during the outage, and no new
/// call was made before the wait of 17 s was over.
///
/// In such runs each of these calls ended after 17.8 s without a response, while instances whose
/// call had started before the same outage had all changes as soon as it was over.
#[test]
fn a_configuration_arrives_soon_after_the_store_was_unresponsive() {
    let late = late_arrivals(Kind::Config, Fault::Unresponsive);
    assert!(late.is_empty(), "arrived too late: {late:?}");
}

/// Guards against requests on an adapter's old version for many seconds after the new one was
/// announced. A watch for announced versions that started during an outage never got a response,
/// like one for the configuration, and may have been open for as long.
#[test]
fn a_version_arrives_soon_after_the_store_was_unresponsive() {
    let late = late_arrivals(Kind::AdapterVersions, Fault::Unresponsive);
    assert!(late.is_empty(), "arrived too late: {late:?}");
}

/// Guards against requests to a failure domain that was evacuated during an outage of the store.
#[test]
fn an_evacuation_is_known_soon_after_the_store_was_unresponsive() {
    let late = late_arrivals(Kind::Evacuations, Fault::Unresponsive);
    assert!(late.is_empty(), "arrived too late: {late:?}");
}

/// Guards against thousands of calls by a fleet that starts during an outage of the store.
#[test]
fn an_instance_that_starts_in_an_outage_tries_one_kind_of_objects() {
    let outage = Duration::ZERO..Duration::from_secs(5);
    let store = follow_for(outage.end, || {
        let first = Content::Config(Box::new(config(1)));
        let script = vec![(Kind::Config, first, Duration::ZERO)];
        ScriptedStore::new(Fault::Rejecting, outage.clone(), script)
    });
    let calls = store.listed_kinds();
    assert!(calls.iter().all(|kind| *kind == Kind::Members), "{calls:?}");
    assert!((10..=40).contains(&calls.len()), "{}", calls.len());
}

/// Guards against requests to a leaving target. It announced that it leaves during an outage of the
/// store.
#[test]
fn a_leaving_target_is_known_soon_after_the_store_was_unresponsive() {
    let late = late_arrivals(Kind::Targets, Fault::Unresponsive);
    assert!(late.is_empty(), "arrived too late: {late:?}");
}

/// Guards against delays between calls that grow beyond the bound while the store rejects calls at
/// once for a while.
#[test]
fn a_configuration_arrives_soon_after_the_store_rejected_calls() {
    let late = late_arrivals(Kind::Config, Fault::Rejecting);
    assert!(late.is_empty(), "arrived too late: {late:?}");
}

/// Guards against calls in a tight loop after immediate rejections. A call without a response has
/// lasted long enough, so the next one follows at once.
#[test]
fn only_quick_failures_are_followed_by_a_delay() {
    let mut follower = Follower::new(Kind::Config, Some(Revision(1)));
    let took = [8, 8, 8, 8, 8, 1_800, 8].map(Duration::from_millis);
    let delays = took.map(|took| follower.record_failure(took, 1.0).as_millis());
    assert_eq!(delays, [142, 292, 592, 992, 992, 0, 992]);
    follower.record_response(Revision(2), true, Duration::ZERO);
    let quick = follower.record_failure(Duration::ZERO, 1.0);
    assert_eq!(quick.as_millis(), 150);
}
