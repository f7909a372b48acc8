//! Carrying out the decision core's actions.

use std::sync::Arc;

use bluebellstage_core::{Action, Event, Notice, PlatformCall, TargetOrder};

use super::{Shell, log_event, orders};

impl Shell {
    /// Starts every action; called under the core's lock, so nothing here may wait.
    ///
    /// Gives back the notices, to be written once the lock is free.
    pub(super) fn carry_out(self: &Arc<Self>, actions: Vec<Action>) -> Vec<Notice> {
        // A map adopted in this step says where the step's messages go.
        for action in &actions {
            if let Action::Notice(Notice::MapAdopted(map)) = action {
                self.peers.adopt(&map.members);
            }
        }
        actions
            .into_iter()
            .filter_map(|action| self.carry_out_one(action))
            .collect()
    }

    fn carry_out_one(self: &Arc<Self>, action: Action) -> Option<Notice> {
        match action {
            Action::Send { to, message } => self.peers.send(&to, *message),
            Action::Platform(call) => self.call_platform(call),
            Action::Order(order) => self.send_order(order),
            Action::Request { id, action } => {
                if let Some(tx) = self.requests().get(&id) {
                    // The receiver lives until the entry is taken out of the table.
                    let _receiver_gone = tx.send(action);
                }
            }
            Action::Applied { change, outcome } => {
                for tx in self.changes().remove(&change).unwrap_or_default() {
                    let _operator_gone = tx.send(outcome.clone());
                }
            }
            Action::Notice(notice) => return Some(notice),
            Action::Exit => {
                let _previous = self.drained.send_replace(true);
            }
        }
        None
    }

    fn call_platform(self: &Arc<Self>, call: PlatformCall) {
        let shell = Arc::clone(self);
        self.runtime.spawn(async move {
            let timeout = shell.settings.platform.timeout;
            let answer = shell
                .platform
                .call(&shell.clock, &shell.metrics, timeout, call)
                .await;
            shell.feed(Event::Platform(answer));
        });
    }

    fn send_order(self: &Arc<Self>, order: TargetOrder) {
        let shell = Arc::clone(self);
        self.runtime.spawn(async move {
            let outcome = orders::send(&shell, &order).await;
            shell.feed(Event::OrderEnded {
                id: order.id,
                target: order.target,
                outcome,
            });
        });
    }

    /// Logs and counts what the core noticed.
    pub(super) fn note(&self, notice: &Notice) {
        match notice {
            Notice::MapAdopted(map) => {
                self.metrics.map_revision(map.revision.0);
                let members = map.members.len();
                log_event!(MapAdopted, "revision" = map.revision, "members" = members);
            }
            Notice::TermsDiffer(terms) => {
                let (standing_ms, drift_ms) =
                    (terms.lease_duration.as_millis(), terms.drift.as_millis());
                log_event!(
                    TermsDiffer,
                    "standing_ms" = standing_ms,
                    "drift_ms" = drift_ms
                );
            }
            Notice::LeaseLost => {
                self.metrics.standing(false);
                log_event!(StandingLost);
            }
            Notice::LeaseRegained => {
                self.metrics.standing(true);
                log_event!(StandingRegained);
            }
            Notice::PeerSuspected(peer) => log_event!(PeerSuspected, "peer" = peer),
            Notice::CatalogueAdopted(revision) => {
                self.metrics.catalogue_revision(revision.0);
                log_event!(CatalogueAdopted, "revision" = revision);
            }
            Notice::CatalogueBehind(revision) => {
                log_event!(CatalogueBehind, "revision" = revision);
            }
            Notice::ObjectMalformed(object) => log_event!(ObjectMalformed, "object" = object),
            Notice::LoadOrdered(target, adapter) => {
                log_event!(LoadOrdered, "target" = target, "adapter" = adapter);
            }
            Notice::LoadEnded(target, adapter, loaded) => {
                log_event!(
                    LoadEnded,
                    "target" = target,
                    "adapter" = adapter,
                    "loaded" = loaded
                );
            }
            Notice::Evicted(target, adapter) => {
                log_event!(Evicted, "target" = target, "adapter" = adapter);
            }
            Notice::OrderFenced(target) => log_event!(OrderFenced, "target" = target),
            Notice::EngineRestarted(target) => log_event!(EngineRestarted, "target" = target),
            Notice::CallInDoubt(request) => log_event!(CallInDoubt, "request" = request),
            Notice::ShareMoved(call) => log_event!(ShareMoved, "call" = call),
            Notice::DomainLost(domain) => log_event!(DomainLost, "failure_domain" = domain),
        }
    }
}
