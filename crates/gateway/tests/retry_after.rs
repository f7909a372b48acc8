//! When callers return whose request nothing can run.

mod support;

use std::time::Duration;

use bluebellstage_gateway::decide::evacuations::Evacuations;
use bluebellstage_gateway::decide::retry_after::when_nothing_can_run;
use bluebellstage_gateway::decide::store::kind::Kind;
use bluebellstage_gateway::decide::tables::Refusal;
use support::{at, call, peer, tables};

const UP: Duration = Duration::from_millis(1_500);

/// Fraction of callers that find the fleet up when they return. They arrive evenly over an outage of `UP`, and
/// each returns once.
fn served_fraction(timeout: Duration, retry_after: impl Fn(f64) -> Duration) -> f64 {
    let callers = 1_000_u32;
    let served = (0..callers).filter(|idx| {
        let arrival = UP.mul_f64(f64::from(*idx) / f64::from(callers));
        let sample = f64::from(idx * 7_919 % callers) / f64::from(callers);
        let wait = retry_after(sample);
        arrival + wait >= UP && wait < timeout
    });
    f64::from(u32::try_from(served.count()).unwrap()) / f64::from(callers)
}

/// Guards against callers that return once, too early, and are rejected again.
#[test]
fn callers_return_when_the_outage_is_over() {
    let soon = |sample: f64| Duration::from_millis(80) + Duration::from_millis(240).mul_f64(sample);
    let late = |timeout: Duration| move |sample| when_nothing_can_run(Some(timeout), sample);
    for (seconds, least) in [(12, 0.95), (20, 0.95), (3, 0.45)] {
        let timeout = Duration::from_secs(seconds);
        assert!(served_fraction(timeout, soon) < 0.2);
        let fraction = served_fraction(timeout, late(timeout));
        assert!(fraction >= least, "{seconds} s: {fraction}");
    }
}

/// Guards against times that callers do not follow, as they exceed a third of their timeout.
#[test]
fn callers_are_told_no_more_than_a_third_of_their_timeout() {
    for ms in [0, 90, 1_500, 3_000, 60_000] {
        let timeout = Duration::from_millis(ms);
        for sample in [0.0, 0.5, 1.0] {
            let after = when_nothing_can_run(Some(timeout), sample);
            assert!(after <= (timeout / 3).min(Duration::from_secs(3)));
        }
    }
}

/// Guards against a caller that waits long although the configuration arrives in a moment.
#[test]
fn an_instance_that_will_soon_be_configured_says_so() {
    let mut starting = tables();
    starting.evacuations = Evacuations::default();
    let refusal = |tables: &mut bluebellstage_gateway::decide::tables::Tables| {
        let admitted = tables.admit(&call("/file/1", Some("key-1")), 0, at(0));
        admitted.err()
    };
    assert_eq!(refusal(&mut starting), Some(Refusal::StoreUnreachable));
    starting.store_calls.record_end(Kind::Members, true, at(0));
    assert_eq!(refusal(&mut starting), Some(Refusal::NotConfigured));
    let mut beside_peer = tables();
    beside_peer.evacuations = Evacuations::default();
    beside_peer.peers.update(peer("other", at(0)));
    assert_eq!(refusal(&mut beside_peer), Some(Refusal::NotConfigured));
}
