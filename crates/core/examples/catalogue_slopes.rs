//! Measures how memory, the number of platform objects, load time and change time grow with the
//! size of the catalogue.
//!
//! Run with `cargo run --release -p bluebellstage-core --example catalogue_slopes`.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use bluebellstage_core::catalogue::{
    AdapterEntry, CatalogueState, Change, ChangeRequest, KeyEntry, WorkClass, WorkspaceEntry,
};
use bluebellstage_core::{
    AdapterId, AdapterVersion, BaseModel, ChangeId, KeyDigest, KeyId, Rate, Tokens, WorkspaceId,
};

const SIZES: [u32; 5] = [1_000, 3_000, 10_000, 30_000, 62_000];
const ADAPTERS_PER_WORKSPACE: u32 = 100;
const PAGE_BYTES: usize = 500_000;
const LOOKUPS: u32 = 100_000;

fn main() {
    println!(
        "| adapters | workspaces | resident KiB | JSON KiB | pages | load ms | change us | lookup ns |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for adapters in SIZES {
        print_row(adapters);
    }
}

fn print_row(adapters: u32) {
    let before = resident_kib();
    let changes = entries(adapters);
    let json = serde_json::to_string(&changes).expect("entries are JSON");
    drop(changes);
    let started = Instant::now();
    let state = load(&json);
    let load = started.elapsed();
    let (bytes, pages) = (json.len(), json.len().div_ceil(PAGE_BYTES));
    drop(json);
    let resident = resident_kib().saturating_sub(before);
    let change = measure_change(state.clone());
    let lookup = measure_lookup(&state, adapters);
    println!(
        "| {adapters} | {} | {resident} | {} | {pages} | {:.1} | {:.1} | {:.0} |",
        adapters / ADAPTERS_PER_WORKSPACE,
        bytes / 1_024,
        load.as_secs_f64() * 1e3,
        change.as_secs_f64() * 1e6,
        lookup.as_secs_f64() * 1e9,
    );
}

fn entries(adapters: u32) -> Vec<Change> {
    let workspaces = (0..adapters / ADAPTERS_PER_WORKSPACE).flat_map(|number| {
        let id = workspace(number);
        let entry = WorkspaceEntry {
            id: id.clone(),
            rate: Rate(1_000),
            burst: Tokens(10_000),
        };
        let key = KeyEntry {
            id: KeyId::try_from(format!("key-{number}").as_str()).expect("a legal name"),
            workspace: id,
            digest: KeyDigest::of(&number.to_string()),
        };
        [Change::PutWorkspace(entry), Change::IssueKey(key)]
    });
    workspaces
        .chain((0..adapters).map(|number| Change::PutAdapter(adapter(number, 1))))
        .collect()
}

fn workspace(number: u32) -> WorkspaceId {
    WorkspaceId::try_from(format!("workspace-{number}").as_str()).expect("a legal name")
}

fn adapter(number: u32, version: u64) -> AdapterEntry {
    AdapterEntry {
        id: AdapterId::try_from(format!("family-law-draft-{number}").as_str())
            .expect("a legal name"),
        owner: workspace(number / ADAPTERS_PER_WORKSPACE),
        base_model: BaseModel::try_from("base-8b").expect("a legal name"),
        current: AdapterVersion(version),
        also: BTreeSet::new(),
        class: WorkClass::Urgent,
        max_answer: Tokens(1_000),
    }
}

fn load(json: &str) -> CatalogueState {
    let changes: Vec<Change> = serde_json::from_str(json).expect("our own JSON");
    let mut state = CatalogueState::default();
    state.apply(&request(changes)).expect("the entries agree");
    state
}

fn request(changes: Vec<Change>) -> ChangeRequest {
    ChangeRequest {
        id: ChangeId::try_from("slopes").expect("a legal name"),
        expected: None,
        changes,
    }
}

fn measure_change(mut state: CatalogueState) -> Duration {
    const CHANGES: u32 = 1_000;
    let requests: Vec<_> = (0..CHANGES)
        .map(|number| request(vec![Change::PutAdapter(adapter(number, 2))]))
        .collect();
    let started = Instant::now();
    for request in &requests {
        state.apply(request).expect("the change agrees");
    }
    started.elapsed() / CHANGES
}

fn measure_lookup(state: &CatalogueState, adapters: u32) -> Duration {
    let names: Vec<_> = (0..LOOKUPS)
        .map(|number| adapter(number % adapters, 1).id)
        .collect();
    let started = Instant::now();
    let found = names
        .iter()
        .filter(|id| state.adapter(id).is_some())
        .count();
    assert_eq!(found, names.len());
    started.elapsed() / LOOKUPS
}

fn resident_kib() -> u64 {
    const KIB_PER_PAGE: u64 = 4;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * KIB_PER_PAGE
}
