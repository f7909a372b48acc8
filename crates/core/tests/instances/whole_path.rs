//! The whole path through three instances in memory.

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
