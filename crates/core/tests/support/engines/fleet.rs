//! Builders for worlds, engines and asks.

use bluebellstage_core::engines::PermitRequest;
use bluebellstage_core::{
    AdapterId, AdapterRef, AdapterVersion, BaseModel, FailureDomain, RequestId, SoftwareVersion,
    TargetId, TargetInfo, TargetKind, Tokens, WorkspaceId,
};

/// Describes an engine of the base model `base`.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    pub slots: u32,
    pub max_batch: u32,
    pub checks_fencing: bool,
}

impl EngineSpec {
    /// Engine `index` in one of `domains` failure domains.
    pub fn build(&self, index: u16, domains: u16) -> TargetInfo {
        let domain = format!("fd{}", index % domains);
        TargetInfo {
            id: TargetId::try_from(format!("e{index}").as_str()).unwrap(),
            address: ([127, 0, 0, 1], 9_000 + index).into(),
            failure_domain: FailureDomain::try_from(domain.as_str()).unwrap(),
            kind: TargetKind::Engine {
                base_model: model(),
                slots: self.slots,
                max_batch: self.max_batch,
                checks_fencing: self.checks_fencing,
                software: SoftwareVersion::default(),
            },
            leaving: false,
        }
    }

    /// So many engines over so many failure domains.
    pub fn many(&self, count: u16, domains: u16) -> Vec<TargetInfo> {
        (0..count).map(|it| self.build(it, domains)).collect()
    }
}

pub fn model() -> BaseModel {
    BaseModel::try_from("base").unwrap()
}

pub fn adapter(index: u32) -> AdapterRef {
    AdapterRef {
        id: AdapterId::try_from(format!("a{index}").as_str()).unwrap(),
        version: AdapterVersion(1),
    }
}

/// An ask of workspace `w0` for adapter `index`; urgent.
pub fn ask(index: u32) -> PermitRequest {
    PermitRequest {
        request: RequestId(0),
        workspace: workspace(0),
        adapter: adapter(index),
        base_model: model(),
        urgent: true,
        prompt: Tokens(100),
        max_answer: Tokens(100),
        prefix: 0,
        software: None,
    }
}

pub fn workspace(index: u32) -> WorkspaceId {
    WorkspaceId::try_from(format!("w{index}").as_str()).unwrap()
}
