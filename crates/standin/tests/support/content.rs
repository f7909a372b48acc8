//! The catalogue of the deployment, and work for it.

use std::collections::BTreeSet;

use bluebellstage_core::catalogue::{
    AdapterEntry, Change, KeyEntry, ServiceEntry, WorkClass, WorkspaceEntry,
};
use bluebellstage_core::{
    AdapterId, AdapterVersion, BaseModel, KeyDigest, KeyId, Rate, ServiceId, Tokens, WorkspaceId,
};
use bluebellstage_standin::caller::{Draft, ServiceCall, Work};

/// The key of workspace `one`, which owns the adapters `one-0` to `one-3`.
pub const KEY: &str = "key-of-workspace-one-5d1f";
/// The key of workspace `two`, which owns the adapter `two-0`.
pub const OTHER_KEY: &str = "key-of-workspace-two-77ab";

/// Adapters of workspace `one`.
const ADAPTERS: usize = 4;

pub fn draft(adapter: usize, prompt: &str, max_tokens: usize) -> Work {
    Work::Draft(Draft {
        model: format!("one-{}", adapter % ADAPTERS),
        prompt: prompt.into(),
        max_tokens,
    })
}

pub fn filing(name: &str) -> Work {
    Work::Call(ServiceCall {
        service: "court".into(),
        path: "filings".into(),
        idempotency_key: Some(name.into()),
    })
}

pub fn reading(path: &str) -> Work {
    Work::Call(ServiceCall {
        service: "court".into(),
        path: path.into(),
        idempotency_key: None,
    })
}

pub fn catalogue() -> Vec<Change> {
    let one = workspace("one");
    let two = workspace("two");
    let mut changes = vec![
        put_workspace(&one),
        put_workspace(&two),
        issue("one-key", &one, KEY),
        issue("two-key", &two, OTHER_KEY),
        put_adapter("two-0", &two),
        Change::PutService(ServiceEntry {
            id: ServiceId::try_from("court").expect("a name"),
            workspaces: BTreeSet::from([one.clone()]),
            charge: Tokens(1),
        }),
    ];
    changes.extend((0..ADAPTERS).map(|index| put_adapter(&format!("one-{index}"), &one)));
    changes
}

fn workspace(name: &str) -> WorkspaceId {
    WorkspaceId::try_from(name).expect("a name")
}

fn put_workspace(id: &WorkspaceId) -> Change {
    Change::PutWorkspace(WorkspaceEntry {
        id: id.clone(),
        rate: Rate(1_000_000),
        burst: Tokens(1_000_000),
    })
}

pub fn issue(name: &str, workspace: &WorkspaceId, key: &str) -> Change {
    Change::IssueKey(KeyEntry {
        id: KeyId::try_from(name).expect("a name"),
        workspace: workspace.clone(),
        digest: KeyDigest::of(key),
    })
}

fn put_adapter(name: &str, owner: &WorkspaceId) -> Change {
    Change::PutAdapter(AdapterEntry {
        id: AdapterId::try_from(name).expect("a name"),
        owner: owner.clone(),
        base_model: BaseModel::try_from("base").expect("a name"),
        current: AdapterVersion(1),
        also: BTreeSet::new(),
        class: WorkClass::Urgent,
        max_answer: Tokens(2_000),
    })
}
