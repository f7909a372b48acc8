//! Tests of the catalogue of the gateway's log events.

use std::collections::BTreeSet;

use bluebellstage_gateway::net::log::LogEvent;

#[test]
fn the_docs_list_every_event_with_number_level_and_summary() {
    let docs = include_str!("../../../docs/EVENTS.md");
    let rows = docs.lines().filter(|line| line.starts_with("| BS3"));
    let rows = rows.collect::<Vec<_>>();
    for event in LogEvent::ALL {
        let start = format!(
            "| BS{} | {} | {} | ",
            event.code(),
            event.level(),
            event.summary()
        );
        let listed = rows.iter().filter(|row| row.starts_with(&start)).count();
        assert_eq!(
            listed, 1,
            "docs/EVENTS.md lacks a row that begins with: {start}"
        );
    }
    assert_eq!(rows.len(), LogEvent::ALL.len());
}

#[test]
fn event_numbers_are_unique() {
    let codes = LogEvent::ALL.iter().map(|event| event.code());
    assert_eq!(codes.collect::<BTreeSet<_>>().len(), LogEvent::ALL.len());
}
