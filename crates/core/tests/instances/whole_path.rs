//! The whole path through three instances in memory.

use bluebellstage_core::Notice;

use crate::fleet::{Answer, FleetBuilder};
use crate::world::{self, NORTH, SOUTH};

#[test]
fn a_generation_a_lookup_and_a_filing_are_answered() {
    let mut fleet = FleetBuilder::instances(3)
        .engines(3, 4)
        .service("filing", 2, 4)
        .build();
    fleet.until_ready();
    fleet.change(0, world::founding());
    fleet.run_for(1_000);
    let draft = fleet.ask(1, NORTH, world::generate("north-1", 20));
    let lookup = fleet.ask(2, SOUTH, world::lookup());
    let filing = fleet.ask(0, NORTH, world::file("plan-1"));
    fleet.run_for(3_000);
    for request in [draft, lookup, filing] {
        assert_eq!(fleet.answer_of(request), Some(&Answer::Complete));
    }
    fleet.check();
}

// A release with a shorter standing is rolled out. Were the new instance to go by its own figure, it
// would take homes over while a former one still acts by the longer one.
#[test]
fn an_instance_goes_by_the_map_s_terms_and_says_that_its_settings_differ() {
    let mut fleet = FleetBuilder::instances(3).build();
    fleet.until_ready();
    let terms = fleet.nodes[0]
        .instance
        .as_ref()
        .unwrap()
        .ownership()
        .map
        .terms;
    fleet.kill(2);
    fleet.run_for(6_000);
    fleet.cfg.lease_duration /= 4;
    fleet.start(2);
    fleet.until_ready();
    let newcomer = fleet.nodes[2].instance.as_ref().unwrap();
    assert_eq!(newcomer.ownership().map.terms, terms);
    let told = |notice: &Notice| *notice == Notice::TermsDiffer(terms);
    assert!(
        fleet
            .notices
            .iter()
            .any(|(_at, id, notice)| *id == fleet.nodes[2].id && told(notice))
    );
}
