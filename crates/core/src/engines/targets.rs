//! The engines in the platform's list, by group.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::{BaseModel, GroupId, Grouping, SoftwareVersion, TargetId, TargetInfo, TargetKind};

use super::PermitRequest;

/// An engine in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct ListedEngine {
    pub(super) address: SocketAddr,
    pub(super) slots: u32,
    pub(super) max_batch: u32,
    pub(super) checks_fencing: bool,
    pub(super) software: SoftwareVersion,
    pub(super) leaving: bool,
}

/// The engines of one group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct ListedGroup {
    pub(super) base_model: BaseModel,
    pub(super) engines: BTreeMap<TargetId, ListedEngine>,
}

impl ListedGroup {
    /// Returns the number of batch slots of the engines that are not leaving.
    pub(super) fn batch_slots(&self) -> u32 {
        let remaining = self.engines.values().filter(|engine| !engine.leaving);
        remaining.map(|engine| engine.max_batch).sum()
    }

    /// Whether an engine that is not leaving may run a request, by base model and software version.
    pub(super) fn can_run(&self, request: &PermitRequest) -> bool {
        let mut engines = self.engines.values();
        let is_allowed = |engine: &ListedEngine| {
            !engine.leaving && engine.max_batch > 0 && request.allows(&engine.software)
        };
        self.base_model == request.base_model && engines.any(is_allowed)
    }
}

/// All engines in the platform's list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Targets {
    pub(super) groups: BTreeMap<GroupId, ListedGroup>,
}

impl Targets {
    pub(super) fn new(list: &[TargetInfo], grouping: Grouping) -> Self {
        let mut targets = Self::default();
        for info in list {
            targets.add(info, grouping);
        }
        targets
    }

    fn add(&mut self, info: &TargetInfo, grouping: Grouping) {
        let TargetKind::Engine {
            base_model,
            slots,
            max_batch,
            checks_fencing,
            software,
        } = &info.kind
        else {
            return;
        };
        let Some(group) = info.group(grouping) else {
            return;
        };
        let engine = ListedEngine {
            address: info.address,
            slots: *slots,
            max_batch: *max_batch,
            checks_fencing: *checks_fencing,
            software: software.clone(),
            leaving: info.leaving,
        };
        let listed = self.groups.entry(group).or_insert_with(|| ListedGroup {
            base_model: base_model.clone(),
            engines: BTreeMap::new(),
        });
        listed.engines.insert(info.id.clone(), engine);
    }
}
