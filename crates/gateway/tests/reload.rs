//! Tests which changed settings apply at once, and which wait for a restart.

mod support;

use std::time::Duration;

use bluebellstage_core::Incarnation;
use bluebellstage_gateway::decide::store::reload::{Reload, compare};
use bluebellstage_gateway::settings::NodeSettings;
use support::{member, settings};

fn compared(change: impl FnOnce(&mut NodeSettings)) -> Reload {
    let running = settings(member("front-0", "north"));
    let mut read = running.clone();
    change(&mut read);
    compare(&running, &running.reloadable, read)
}

#[test]
fn a_different_incarnation_is_no_change() {
    let again = compared(|read| read.member.incarnation = Incarnation(8));
    assert_eq!(again, Reload::Unchanged);
}

#[test]
fn changed_terms_apply_at_once() {
    let changed = compared(|read| read.reloadable.retry_budget.slack = 20.0);
    let Reload::Changed { terms, at_restart } = changed else {
        panic!("{changed:?}");
    };
    assert!((terms.unwrap().retry_budget.slack - 20.0).abs() < f64::EPSILON);
    assert!(at_restart.is_empty());
}

#[test]
fn settings_known_to_peers_wait_for_a_restart() {
    let changed = compared(|read| read.handover = Duration::from_secs(4));
    let waiting = Reload::Changed {
        terms: None,
        at_restart: vec!["handover"],
    };
    assert_eq!(changed, waiting);
}
