//! What must hold in every run, checked as it goes or at its end.

use std::collections::BTreeMap;

use bluebellstage_core::{
    CallerWork, IdempotencyKey, OwnershipKey, Ran, RequestId, ServiceCall, WorkspaceId,
};

use super::Fleet;
use super::callers::Answer;

impl Fleet {
    /// At no time do two instances act as home of one thing.
    pub(super) fn check_homes(&self) {
        let keys = [
            OwnershipKey::WeightStore,
            OwnershipKey::Catalogue,
            OwnershipKey::Workspace(WorkspaceId::try_from("north").unwrap()),
            OwnershipKey::Workspace(WorkspaceId::try_from("south").unwrap()),
        ];
        for key in &keys {
            let acting: Vec<_> = self
                .nodes
                .iter()
                .filter(|node| node.is_running())
                .filter(|node| {
                    let instance = node.instance.as_ref();
                    instance.is_some_and(|instance| {
                        instance.ownership().may_act(node.clock(self.now), key)
                    })
                })
                .map(|node| node.id.to_string())
                .collect();
            assert!(
                acting.len() <= 1,
                "{key} has the homes {acting:?} at {} us",
                self.now
            );
        }
    }

    /// All that must hold whatever failed.
    pub fn check(&self) {
        self.check_adapters();
        self.check_not_run();
        self.check_once();
        self.check_evictions();
        self.check_batches();
    }

    /// Each request ran on the adapter that it asked for.
    pub fn check_adapters(&self) {
        for run in &self.runs {
            if let CallerWork::Generate {
                adapter, version, ..
            } = &self.callers[&run.request].work
            {
                let ran = run
                    .adapter
                    .as_ref()
                    .expect("a generation runs on an adapter");
                assert_eq!(
                    ran.id, *adapter,
                    "request {} ran on another adapter",
                    run.request
                );
                assert!(
                    version.is_none_or(|version| version == ran.version),
                    "request {} ran on another version",
                    run.request
                );
            }
        }
    }

    /// A refusal that says "not run" is true.
    pub fn check_not_run(&self) {
        for (id, caller) in &self.callers {
            if let Some(Answer::Refused(refusal) | Answer::Cut(refusal)) = &caller.answer
                && refusal.ran == Ran::No
            {
                assert_eq!(
                    self.runs_of(*id),
                    0,
                    "request {id} was refused as not run, and ran: {refusal:?}"
                );
            }
        }
    }

    /// A call that may not be repeated ran at most once under its name.
    pub fn check_once(&self) {
        let mut runs: BTreeMap<IdempotencyKey, Vec<RequestId>> = BTreeMap::new();
        for run in &self.runs {
            if let CallerWork::Call(ServiceCall {
                idempotency_key: Some(key),
                idempotent: false,
                ..
            }) = &self.callers[&run.request].work
            {
                runs.entry(key.clone()).or_default().push(run.request);
            }
        }
        for (key, requests) in runs {
            assert_eq!(requests.len(), 1, "the call {key} ran for {requests:?}");
        }
    }

    /// No adapter was evicted in use.
    pub fn check_evictions(&self) {
        for target in self.targets.values() {
            assert!(
                target.evicted_in_use.is_empty(),
                "{} lost {:?} in use",
                target.info.id,
                target.evicted_in_use
            );
        }
    }

    /// No engine ran more at once than it batches.
    pub fn check_batches(&self) {
        for target in self.targets.values() {
            if let bluebellstage_core::TargetKind::Engine { max_batch, .. } = target.info.kind {
                assert!(
                    target.most_running <= max_batch as usize,
                    "{} ran {}",
                    target.info.id,
                    target.most_running
                );
            }
        }
    }

    pub fn runs_of(&self, id: RequestId) -> usize {
        self.runs.iter().filter(|run| run.request == id).count()
    }
}
