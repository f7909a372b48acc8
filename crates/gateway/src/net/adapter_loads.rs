//! Requests loads of the adapter that a request needs.

use bluebellstage_core::TargetId;

use crate::decide::tables::Tables;
use crate::edge::Edge;
use crate::packet::{AdapterRequest, AdapterRequestKind};

use super::front::Job;

impl<E: Edge> Job<E> {
    pub(super) fn load_request(&self) -> AdapterRequestKind {
        let key = Tables::adapter_of(&self.call);
        let newest = key.and_then(|key| self.node.tables().versions.newest(key));
        AdapterRequestKind::Load(newest)
    }

    pub(super) fn request_loads(&self, targets: Vec<TargetId>) {
        for target in targets {
            self.send_adapter_request(target, self.load_request());
        }
    }

    pub(super) fn send_adapter_request(&self, target: TargetId, kind: AdapterRequestKind) {
        if let Some(key) = Tables::adapter_of(&self.call) {
            let key = key.clone();
            let class = self.ticket.load_class();
            let adapter_request = AdapterRequest {
                target,
                key,
                kind,
                class,
            };
            self.node.queue_adapter_request(adapter_request);
        }
    }

    pub(super) fn record_missing_adapter(&self, target: &TargetId) {
        if let Some(key) = Tables::adapter_of(&self.call) {
            let now = self.node.now();
            self.node
                .tables()
                .residency
                .record_missing(target, key, now);
        }
        self.send_adapter_request(target.clone(), AdapterRequestKind::Missing);
    }
}
