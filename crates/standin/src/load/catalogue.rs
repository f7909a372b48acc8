//! The catalogue of a scenario.

use bluebellstage_core::catalogue::{
    AdapterEntry, Change, KeyEntry, ServiceEntry, WorkClass, WorkspaceEntry,
};
use bluebellstage_core::{
    AdapterId, AdapterVersion, BaseModel, KeyDigest, KeyId, Rate, ServiceId, Tokens, WorkspaceId,
};

use super::arrivals::{ADAPTER_VERSION, AdapterClass, adapter_name};
use super::scenario::{DraftSpec, Scenario, WorkKind, Workspace};

/// Tokens charged for a call to a plain service.
pub(super) const SERVICE_CHARGE: u64 = 1;

/// Longest answer of an adapter that no work asks for, in tokens.
const LEAST_MAX_ANSWER: usize = 1;

/// The key of a workspace.
pub(super) fn key(scenario: &Scenario, workspace: &Workspace) -> String {
    format!(
        "key-{}-{}-{:016x}",
        scenario.name, workspace.name, scenario.seed
    )
}

/// The changes that write the whole catalogue.
///
/// # Errors
/// If a name of the scenario is no identifier.
pub(super) fn changes(scenario: &Scenario) -> eyre::Result<Vec<Change>> {
    let mut changes = Vec::new();
    for workspace in &scenario.workspaces {
        changes.extend(workspace_changes(scenario, workspace)?);
    }
    let ids: Result<_, _> = scenario
        .workspaces
        .iter()
        .map(|workspace| WorkspaceId::try_from(&*workspace.name))
        .collect();
    let ids: std::collections::BTreeSet<_> = ids?;
    for group in &scenario.services {
        changes.push(Change::PutService(ServiceEntry {
            id: ServiceId::try_from(&*group.each.service)?,
            workspaces: ids.clone(),
            charge: Tokens(SERVICE_CHARGE),
        }));
    }
    Ok(changes)
}

fn workspace_changes(scenario: &Scenario, workspace: &Workspace) -> eyre::Result<Vec<Change>> {
    let id = WorkspaceId::try_from(&*workspace.name)?;
    let mut changes = vec![
        Change::PutWorkspace(WorkspaceEntry {
            id: id.clone(),
            rate: Rate(workspace.rate),
            burst: Tokens(workspace.burst),
        }),
        Change::IssueKey(KeyEntry {
            id: KeyId::try_from(&*format!("key-{}", workspace.name))?,
            workspace: id.clone(),
            digest: KeyDigest::of(&key(scenario, workspace)),
        }),
    ];
    let counts = [
        (AdapterClass::Urgent, workspace.urgent_adapters),
        (AdapterClass::Batch, workspace.batch_adapters),
    ];
    for (class, count) in counts {
        for index in 0..count {
            changes.push(Change::PutAdapter(AdapterEntry {
                id: AdapterId::try_from(&*adapter_name(&workspace.name, class, index))?,
                owner: id.clone(),
                base_model: BaseModel::try_from(&*scenario.engines.each.base_model)?,
                current: AdapterVersion(ADAPTER_VERSION),
                also: std::collections::BTreeSet::new(),
                class: match class {
                    AdapterClass::Urgent => WorkClass::Urgent,
                    AdapterClass::Batch => WorkClass::Batch,
                },
                max_answer: Tokens(longest_answer(scenario, class) as u64),
            }));
        }
    }
    Ok(changes)
}

fn longest_answer(scenario: &Scenario, class: AdapterClass) -> usize {
    let longest = |spec: &DraftSpec| spec.max_tokens.0.max(spec.max_tokens.1);
    let lengths = scenario.work.iter().filter_map(|work| match &work.kind {
        WorkKind::Urgent(spec) if class == AdapterClass::Urgent => Some(longest(spec)),
        WorkKind::Batch(spec) if class == AdapterClass::Batch => Some(longest(spec)),
        _ => None,
    });
    lengths.max().unwrap_or(LEAST_MAX_ANSWER)
}
