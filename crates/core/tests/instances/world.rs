//! A small world: two workspaces with a key, adapters and a filing service each.

use std::collections::BTreeSet;

use bluebellstage_core::catalogue::{
    AdapterEntry, Change, ChangeRequest, KeyEntry, ServiceEntry, WorkClass, WorkspaceEntry,
};
use bluebellstage_core::{
    AdapterId, AdapterVersion, BaseModel, CallerWork, ChangeId, IdempotencyKey, KeyDigest, KeyId,
    Rate, ServiceCall, ServiceId, Tokens, WorkspaceId,
};

use crate::fleet::{Fleet, FleetBuilder};

/// The key of workspace `north`.
pub const NORTH: &str = "key-of-north";

/// The key of workspace `south`.
pub const SOUTH: &str = "key-of-south";

pub fn workspace(name: &str) -> WorkspaceId {
    WorkspaceId::try_from(name).unwrap()
}

pub fn key(name: &str) -> KeyId {
    KeyId::try_from(name).unwrap()
}

pub fn adapter(name: &str) -> AdapterId {
    AdapterId::try_from(name).unwrap()
}

pub fn change(id: &str, changes: Vec<Change>) -> ChangeRequest {
    ChangeRequest {
        id: ChangeId::try_from(id).unwrap(),
        expected: None,
        changes,
    }
}

pub fn put_workspace(name: &str, rate: u64, burst: u64) -> Change {
    Change::PutWorkspace(WorkspaceEntry {
        id: workspace(name),
        rate: Rate(rate),
        burst: Tokens(burst),
    })
}

pub fn issue_key(name: &str, owner: &str, secret: &str) -> Change {
    Change::IssueKey(KeyEntry {
        id: key(name),
        workspace: workspace(owner),
        digest: KeyDigest::of(secret),
    })
}

pub fn put_adapter(name: &str, owner: &str, version: u64) -> Change {
    Change::PutAdapter(AdapterEntry {
        id: adapter(name),
        owner: workspace(owner),
        base_model: BaseModel::try_from("base").unwrap(),
        current: AdapterVersion(version),
        also: BTreeSet::new(),
        class: WorkClass::Urgent,
        max_answer: Tokens(1_000),
    })
}

pub fn put_service(name: &str) -> Change {
    Change::PutService(ServiceEntry {
        id: ServiceId::try_from(name).unwrap(),
        workspaces: [workspace("north"), workspace("south")].into(),
        charge: Tokens(1),
    })
}

/// The changes that build the whole small world.
pub fn founding() -> ChangeRequest {
    let mut changes = vec![
        put_workspace("north", 10_000, 100_000),
        put_workspace("south", 10_000, 100_000),
        issue_key("north-1", "north", NORTH),
        issue_key("south-1", "south", SOUTH),
        put_service("filing"),
    ];
    for number in 0..12 {
        changes.push(put_adapter(&format!("north-{number}"), "north", 1));
        changes.push(put_adapter(&format!("south-{number}"), "south", 1));
    }
    change("founding", changes)
}

/// A fleet whose instances all serve, with the small world in force.
pub fn found(builder: FleetBuilder) -> Fleet {
    let mut fleet = builder.build();
    fleet.until_ready();
    fleet.change(0, founding());
    fleet.run_for(1_000);
    fleet
}

pub fn generate(name: &str, answer: u64) -> CallerWork {
    CallerWork::Generate {
        adapter: adapter(name),
        version: None,
        prompt: Tokens(20),
        max_answer: Some(Tokens(answer)),
        prefix: 0,
    }
}

pub fn lookup() -> CallerWork {
    CallerWork::Call(ServiceCall {
        service: ServiceId::try_from("filing").unwrap(),
        idempotent: true,
        idempotency_key: None,
        fingerprint: 1,
    })
}

pub fn file(name: &str) -> CallerWork {
    CallerWork::Call(ServiceCall {
        service: ServiceId::try_from("filing").unwrap(),
        idempotent: false,
        idempotency_key: Some(IdempotencyKey::try_from(name).unwrap()),
        fingerprint: 7,
    })
}
