//! Tests of news that come while the store is away, in virtual time.

mod support;

use std::ops::Range;
use std::time::Duration;

use bluebellstage_core::Revision;
use bluebellstage_gateway::decide::follower::Follower;
use bluebellstage_gateway::edge::{Content, Kind};
use support::store::{Fault, ScriptedStore, follow_for};
use support::{adapter_at, config, target};

/// Time after the store's return for which no bound holds.
const SUSPENDED: Duration = Duration::from_secs(3);
/// Time in which the other instances copy what a follower has heard.
const COPIED_WITHIN: Duration = Duration::from_secs(1);
/// Time from an announcement on in which requests may still begin on an older version, as an
/// instance that hears of it counts it.
const OLD_VERSION_BEGINS: Duration = Duration::from_millis(3_800);
/// When the store takes a change just before it falls silent.
const CHANGED: Duration = Duration::from_millis(4_900);
/// Lengths of the silence: shorter than any wait, and as long as outages last.
const SILENCES: [Duration; 4] = [
    Duration::from_millis(250),
    Duration::from_millis(900),
    Duration::from_millis(2_500),
    Duration::from_secs(6),
];
/// Starts of the silence after the change, so that waits begin before it, in it and after it.
const PHASES: u32 = 22;
const PHASE: Duration = Duration::from_millis(100);

/// One piece of news of each kind that instances follow; `second` tells the newer one.
fn news(kind: Kind, second: bool) -> Content {
    let version = 1 + u64::from(second);
    match kind {
        Kind::Targets => {
            let mut target = target("c1", "court");
            target.leaving = second;
            Content::Target(Box::new(target))
        }
        Kind::AdapterVersions => Content::AdapterVersion(adapter_at("a1", 1 + version)),
        _ => Content::Config(Box::new(config(1 + version))),
    }
}

/// How long the instance runs after the store's return.
const AFTERWARDS: Duration = Duration::from_secs(5);

/// How long after the store's return the instance hears of the second of two changes, the first of
/// which came just before the silence and the second in it.
fn heard(kind: Kind, fault: Fault, away: &Range<Duration>) -> Option<Duration> {
    let store = follow_for(away.end + AFTERWARDS, || {
        let first = Content::Config(Box::new(config(1)));
        let script = vec![
            (Kind::Config, first, Duration::ZERO),
            (kind, news(kind, false), CHANGED),
            (kind, news(kind, true), away.end),
        ];
        ScriptedStore::new(fault, away.clone(), script)
    });
    let told = store.first_sent(Revision(3));
    told.map(|told| told.saturating_sub(away.end))
}

/// Time from the store's return in which an instance must hear what it missed.
fn bound(kind: Kind) -> Duration {
    let bound = match kind {
        // The store has acknowledged it on its return: it must be in force when bounds hold again.
        Kind::Config => SUSPENDED,
        // Five seconds, which begin when bounds hold again.
        Kind::AdapterVersions => {
            let begins = Duration::from_secs(5).saturating_sub(OLD_VERSION_BEGINS);
            SUSPENDED + begins
        }
        // Two seconds, which begin when bounds hold again.
        _ => SUSPENDED + Duration::from_secs(2),
    };
    bound.saturating_sub(COPIED_WITHIN)
}

/// The silences in which the instance heard too late, with how late.
fn too_late(kind: Kind, fault: Fault) -> Vec<(Range<Duration>, Option<Duration>)> {
    let starts = (0..PHASES).map(|idx| CHANGED + PHASE * idx);
    let spans = starts.flat_map(|start| SILENCES.map(|length| start..start + length));
    let heard = spans.map(|away| (away.clone(), heard(kind, fault, &away)));
    heard
        .filter(|(_, heard)| heard.is_none_or(|heard| heard > bound(kind)))
        .collect()
}

/// Callers whose new keys the operators have added get 401 on every instance for many seconds, and
/// requests go on by routes that were replaced. A change is in force and the instance asks for the
/// next one just as the store falls silent. The store returns and takes it, but a call that began in
/// the silence is never answered, and nobody asked anew before its wait of 17 s was over.
///
/// Evidence: the instances told that each such call ended after 17.8 s without an answer, while those
/// whose call had begun before the same silence had all changes as soon as it was over.
#[test]
fn a_configuration_is_heard_soon_after_a_silence_of_the_store() {
    let late = too_late(Kind::Config, Fault::Unresponsive);
    assert!(late.is_empty(), "heard too late: {late:?}");
}

/// Requests begin on an adapter's old version for many seconds after the new one was announced: a
/// call for announced versions that began in a silence of the store was never answered, like one for
/// the configuration, and may have been open for as long.
#[test]
fn a_version_is_heard_soon_after_a_silence_of_the_store() {
    let late = too_late(Kind::AdapterVersions, Fault::Unresponsive);
    assert!(late.is_empty(), "heard too late: {late:?}");
}

/// A server that has said that it leaves goes on getting requests: the news of it came while the
/// store was silent.
#[test]
fn a_leaving_target_is_heard_soon_after_a_silence_of_the_store() {
    let late = too_late(Kind::Targets, Fault::Unresponsive);
    assert!(late.is_empty(), "heard too late: {late:?}");
}

/// The store refuses instances at once for a while, which takes no time, so the pauses between calls
/// grow. They must not grow beyond what the bound leaves.
#[test]
fn a_configuration_is_heard_soon_after_the_store_refused() {
    let late = too_late(Kind::Config, Fault::Rejecting);
    assert!(late.is_empty(), "heard too late: {late:?}");
}

/// Refusals that come at once must not make an instance ask without a break; a call that got no
/// answer has lasted long enough, and the next one follows at once.
#[test]
fn only_quick_failures_are_followed_by_a_pause() {
    let mut follower = Follower::new(Kind::Config, Some(Revision(1)));
    let took = [8, 8, 8, 8, 8, 1_800, 8].map(Duration::from_millis);
    let pauses = took.map(|took| follower.record_failure(took, 1.0).as_millis());
    assert_eq!(pauses, [142, 292, 592, 992, 992, 0, 992]);
    follower.record_response(Revision(2), true);
    let quick = follower.record_failure(Duration::ZERO, 1.0);
    assert_eq!(quick.as_millis(), 150);
}
