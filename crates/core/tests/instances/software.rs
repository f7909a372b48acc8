//! Generations whose base model has engines of two software versions.

use std::collections::BTreeSet;

use bluebellstage_core::{RequestId, SoftwareVersion, TargetId, TargetKind, Tokens};

use crate::fleet::{Answer, Fleet, FleetBuilder};
use crate::world::{self, NORTH};

const ENGINES: u16 = 4;
const GENERATIONS: usize = 12;
/// Length of each answer; it takes five seconds.
const TOKENS: u64 = 1_000;

fn founded(seed: u64) -> Fleet {
    let fleet = FleetBuilder::instances(3).software(&["v1", "v2"]);
    world::found(fleet.engines(ENGINES, 4).seed(seed))
}

fn engines() -> impl Iterator<Item = TargetId> {
    (0..ENGINES).map(|number| TargetId::try_from(&*format!("engine-{number}")).unwrap())
}

fn begin(fleet: &mut Fleet) -> Vec<RequestId> {
    let begun = (0..GENERATIONS)
        .map(|number| fleet.ask(number % 3, NORTH, world::generate("north-1", TOKENS)));
    let begun = begun.collect();
    fleet.run_for(900);
    begun
}

/// Returns the software versions of the engines that ran a request.
fn versions_of(fleet: &Fleet, request: RequestId) -> BTreeSet<SoftwareVersion> {
    let runs = fleet.runs.iter().filter(|run| run.request == request);
    let versions = runs.filter_map(|run| version_at(fleet, &run.target).cloned());
    versions.collect()
}

fn version_at<'a>(fleet: &'a Fleet, target: &TargetId) -> Option<&'a SoftwareVersion> {
    match &fleet.targets[target].info.kind {
        TargetKind::Engine { software, .. } => Some(software),
        TargetKind::Service { .. } => None,
    }
}

/// Guards against an answer whose parts are of two software versions.
#[test]
fn a_generation_goes_on_at_the_software_version_that_began_it() {
    for seed in 1..6 {
        let mut fleet = founded(seed);
        let begun = begin(&mut fleet);
        for engine in engines() {
            fleet.break_off(&engine, Tokens(3));
        }
        fleet.run_for(15_000);
        let mut resumed = 0;
        for request in &begun {
            let versions = versions_of(&fleet, *request);
            assert!(versions.len() <= 1, "{seed}: {request} ran at {versions:?}");
            resumed += usize::from(fleet.runs_of(*request) > 1);
        }
        let answered = begun
            .iter()
            .filter(|id| fleet.answer_of(**id) == Some(&Answer::Complete));
        assert!(resumed >= 4, "{seed}: {resumed}");
        assert!(answered.count() * 10 >= begun.len() * 9, "{seed}");
        fleet.check();
    }
}

/// Guards against a caller who waits for engines of a software version that are gone.
#[test]
fn a_generation_without_engines_of_its_software_version_is_refused_at_once() {
    let mut fleet = founded(7);
    let begun = begin(&mut fleet);
    let first = SoftwareVersion::try_from("v1").unwrap();
    let is_of_first = |id: &TargetId| version_at(&fleet, id) == Some(&first);
    for engine in engines().filter(is_of_first).collect::<Vec<_>>() {
        fleet.set_leaving(&engine);
    }
    fleet.run_for(2_000);
    for engine in engines() {
        fleet.break_off(&engine, Tokens(3));
    }
    fleet.run_for(1_000);
    let of_first = begun
        .iter()
        .filter(|request| versions_of(&fleet, **request) == BTreeSet::from([first.clone()]));
    let of_first = of_first.collect::<Vec<_>>();
    assert!(!of_first.is_empty());
    for request in of_first {
        let answer = fleet.answer_of(*request);
        assert!(
            matches!(answer, Some(Answer::Refused(_) | Answer::Cut(_))),
            "{request}: {answer:?}"
        );
    }
    fleet.check();
}
