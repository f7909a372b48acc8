//! Policies for placement and queues, measured on the two deployments in virtual time.
//!
//! `cargo run --release -p bluebellstage-core --example engines_model [DEPLOYMENT/SCENARIO]`
//! `POLICY=domain` runs only the policies with that in their names.

#[path = "engines_model/arrivals.rs"]
mod arrivals;
#[path = "engines_model/deployment.rs"]
mod deployment;
#[path = "engines_model/measure.rs"]
mod measure;
#[path = "engines_model/policy.rs"]
mod policy;
#[path = "../tests/support/engines/mod.rs"]
mod support;

use std::thread;

use arrivals::Scenario;
use deployment::Deployment;
use measure::{Measures, Summary};
use policy::Policy;

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    let is_wanted = |name: &str| wanted.is_empty() || wanted.iter().any(|it| name.contains(it));
    for deployment in Deployment::all() {
        for scenario in Scenario::ALL {
            let title = format!("{}/{}", deployment.name, scenario.name());
            if is_wanted(&title) {
                table(&title, &deployment, scenario);
            }
        }
    }
}

fn table(title: &str, deployment: &Deployment, scenario: Scenario) {
    println!("\n{title}, {} seeds: mean (least to most)", SEEDS.len());
    println!("{}", Summary::HEADER);
    let chosen = std::env::var("POLICY").unwrap_or_default();
    let all = Policy::all().into_iter();
    for policy in all.filter(|policy| policy.name.contains(&chosen)) {
        let runs = runs(deployment, scenario, policy);
        println!("{:<22} {}", policy.name, Summary(&runs));
    }
}

/// One run for each seed, each on a thread of its own.
fn runs(deployment: &Deployment, scenario: Scenario, policy: Policy) -> Vec<Measures> {
    thread::scope(|scope| {
        let started: Vec<_> = SEEDS
            .iter()
            .map(|seed| scope.spawn(move || measure::run(deployment, scenario, policy, *seed)))
            .collect();
        let joined = started.into_iter().map(thread::ScopedJoinHandle::join);
        joined.map(Result::unwrap).collect()
    })
}
