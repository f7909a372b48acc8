//! Health of targets by the outcomes of their requests.

use std::time::Duration;

use bluebellstage_core::{TargetId, Time};
use bluebellstage_gateway::decide::health::{Health, HealthState, MAX_SILENCE, TargetOutcome};

const SENT: Time = Time(1_000_000);
/// Enough requests without a response for an ejection.
const REQUESTS: usize = 8;

fn eject(health: &mut Health, target: &TargetId, outcome: TargetOutcome, now: Time) {
    for _ in 0..REQUESTS {
        health.record_outcome(target, outcome, now);
    }
    assert_eq!(health.state(target, now), HealthState::Ejected);
}

/// Guards against a target that gets no requests for seconds after a silence that is over.
#[test]
fn a_silent_target_is_readmitted_once_it_is_heard() {
    let mut health = Health::default();
    let target = TargetId::try_from("t1").unwrap();
    let now = SENT + MAX_SILENCE;
    eject(&mut health, &target, TargetOutcome::Silent(SENT), now);
    let heard = now + Duration::from_millis(1);
    health.record_heard(&target, heard);
    assert_eq!(health.state(&target, heard), HealthState::Good);
    assert_eq!(health.silent(heard).count(), 0);
}

/// Guards against a target that leaves some requests without a response and is readmitted because it answers others.
#[test]
fn a_target_that_answers_others_is_not_readmitted_for_that() {
    let mut health = Health::default();
    let target = TargetId::try_from("t1").unwrap();
    health.record_outcome(
        &target,
        TargetOutcome::Answer(Duration::from_millis(1)),
        SENT + Duration::from_millis(1),
    );
    let now = SENT + MAX_SILENCE;
    eject(&mut health, &target, TargetOutcome::Silent(SENT), now);
    health.record_heard(&target, now);
    assert_eq!(health.state(&target, now), HealthState::Ejected);
}
