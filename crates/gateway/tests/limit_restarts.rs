//! Limits that targets report while all instances are killed, in virtual time.

mod support;

use support::fleet::Fleet;
use support::limited::{LimitScenario, Simulation, allowed};

/// When the targets start to report limits, in milliseconds, and the time after that from which they must be kept.
const LIMITS_FROM_MS: u64 = 2_000;
const PROPAGATION_MS: u64 = 3_000;
/// Time until killed instances run again, and until the next kill.
const DOWN_MS: u64 = 500;
const UP_MS: u64 = 1_500;
const KILLS: usize = 4;
const WINDOW_MS: u64 = 4_000;

fn kill_all(simulation: &mut Simulation) {
    let count = simulation.fleet.len();
    (0..count).for_each(|idx| simulation.fleet.kill(idx));
    simulation.run_ms(DOWN_MS);
    (0..count).for_each(|idx| simulation.restart(idx, false));
    simulation.run_ms(UP_MS);
}

/// Returns the most arrivals at a target in a window, of instances that have just started, too.
fn most_arrivals(simulation: &Simulation, target: usize, until_ms: u64) -> usize {
    let starts = (LIMITS_FROM_MS + PROPAGATION_MS..until_ms).step_by(100);
    let counts = starts.map(|from| simulation.arrived(target, from..from + WINDOW_MS));
    counts.max().unwrap_or(0)
}

/// Guards against a limit that all instances forget when they are killed, again and again.
#[test]
fn kills_of_all_instances_in_series_stay_within_limits() {
    let limits = [1_900, 3_700, 2_000, 5_000];
    let mut worst = Vec::new();
    for (count, domains, rate) in [(6, 3, 60), (75, 3, 150)] {
        let scenario = LimitScenario {
            targets: 6,
            limits: limits.to_vec(),
            rate,
            from_ms: LIMITS_FROM_MS,
            for_ms: 60_000,
        };
        let mut simulation = scenario.start(Fleet::start(count, domains, 32));
        simulation.run_ms(LIMITS_FROM_MS + PROPAGATION_MS);
        (0..KILLS).for_each(|_| kill_all(&mut simulation));
        simulation.run_ms(WINDOW_MS);
        let until = LIMITS_FROM_MS + PROPAGATION_MS + 4 * (DOWN_MS + UP_MS);
        for (target, limit) in limits.into_iter().enumerate() {
            let all = most_arrivals(&simulation, target, until);
            let bound =
                simulation.max_arrivals_in_a_window(target, LIMITS_FROM_MS + PROPAGATION_MS);
            println!(
                "{count} instances, c{target}: {bound} of instances that had heard the limit, {all} of all, {} allowed",
                allowed(limit)
            );
            worst.push((bound, allowed(limit)));
        }
    }
    assert!(
        worst.iter().all(|(bound, allowed)| bound <= allowed),
        "{worst:?}"
    );
}
