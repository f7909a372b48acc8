//! Decides whether a request is admitted, and charges its workspace.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{Time, WorkspaceId};

use super::call::Call;
use super::quota::{ChargeOutcome, PeerVisibility};
use super::refusal::Refusal;
use super::routes::{Routed, pick_service};
use super::tables::Tables;
use super::ticket::Ticket;

/// Fraction of a route's target latency for which a request may wait for its workspace's quota. A
/// rejected caller would lose more time on its way back, and an engine can still respond in the
/// rest.
const QUOTA_WAIT_FRACTION: f64 = 0.4;
/// Maximum time after which a rejected caller is told to retry. With a longer one the caller would
/// have little time left.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

impl Tables {
    /// Admits or rejects a request. `draw` is a random number.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request is rejected.
    pub fn admit(&mut self, call: &Call, draw: u64, now: Time) -> Result<Ticket, Refusal> {
        if !self.is_prepared() {
            return Err(self.why_not_informed(now));
        }
        let (route, workspace) = match self.routes.find(call) {
            Routed::To { route, workspace } => (route, workspace),
            Routed::NoRoute => return Err(Refusal::NoRoute),
            Routed::UnknownKey => return Err(Refusal::UnknownKey),
            Routed::Malformed => return Err(Refusal::MalformedConfig),
        };
        let routes = Arc::clone(&self.routes);
        let service = pick_service(routes.route(route), draw).ok_or(Refusal::NoTarget)?;
        if routes.config().is_malformed_service(service) {
            return Err(Refusal::MalformedConfig);
        }
        let workspace = workspace.map(|idx| routes.workspace(idx));
        let mut charge = 0;
        let mut quota_wait = Duration::ZERO;
        if let Some(workspace) = workspace
            && let Some(quota) = workspace.quota
        {
            charge = quota.unit.charge(call.tokens);
            let sharing = PeerVisibility {
                silent_fraction: self.unknown_spending_fraction(now),
                staleness: self.update_age(now),
            };
            let max_quota_wait = routes
                .route(route)
                .target_latency
                .mul_f64(QUOTA_WAIT_FRACTION);
            let name = &workspace.name;
            let quotas = &mut self.quotas;
            match quotas.charge(name, quota, charge, sharing, max_quota_wait, now) {
                ChargeOutcome::Accepted => {}
                ChargeOutcome::AcceptedAfter(wait) => quota_wait = wait,
                ChargeOutcome::Rejected {
                    retry_after,
                    remaining,
                } => {
                    return Err(Refusal::OverQuota {
                        retry_after: retry_after.min(MAX_RETRY_AFTER),
                        remaining,
                        charge,
                        rate: quota.rate,
                    });
                }
            }
        }
        self.retries.record_request(service, now);
        let counted_at = Some(now);
        let rank = workspace.and_then(|workspace| workspace.rank);
        Ok(Ticket {
            service: service.clone(),
            workspace: workspace.map(|workspace| workspace.name.clone()),
            charge,
            quota_wait,
            rank: rank.unwrap_or(routes.route(route).rank),
            software: None,
            patience: None,
            waits: false,
            counted_at,
            may_go_to_owner: true,
            route,
            routes,
        })
    }

    /// Admits a request that a peer forwards and has charged to `workspace`. The budget of retries is based on it here if it
    /// `counts`, else at another instance. `draw` is a random number.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request is rejected.
    pub fn admit_forwarded(
        &mut self,
        call: &Call,
        workspace: Option<&WorkspaceId>,
        counts: bool,
        draw: u64,
        now: Time,
    ) -> Result<Ticket, Refusal> {
        if !self.is_prepared() {
            return Err(self.why_not_informed(now));
        }
        let routes = Arc::clone(&self.routes);
        let Some(route) = routes.find_route(call) else {
            return Err(match routes.without_route(call) {
                Routed::Malformed => Refusal::MalformedConfig,
                _ => Refusal::NoRoute,
            });
        };
        let service = pick_service(routes.route(route), draw).ok_or(Refusal::NoTarget)?;
        if routes.config().is_malformed_service(service) {
            return Err(Refusal::MalformedConfig);
        }
        let unknown = if routes.config().has_malformed_workspace() {
            Refusal::MalformedConfig
        } else {
            Refusal::UnknownKey
        };
        let known = workspace.map(|name| routes.workspace_named(name).ok_or(unknown));
        let rank = known.transpose()?.and_then(|known| known.rank);
        let counted_at = counts.then_some(now);
        if counts {
            self.retries.record_request(service, now);
        }
        Ok(Ticket {
            service: service.clone(),
            workspace: workspace.cloned(),
            charge: 0,
            quota_wait: Duration::ZERO,
            rank: rank.unwrap_or(routes.route(route).rank),
            software: None,
            patience: None,
            waits: false,
            counted_at,
            may_go_to_owner: true,
            route,
            routes,
        })
    }

    fn why_not_informed(&self, now: Time) -> Refusal {
        let has_source = self.peers.live(now).any(|peer| peer.ready);
        if has_source || self.store_calls.has_response() {
            Refusal::NotConfigured
        } else {
            Refusal::StoreUnreachable
        }
    }

    /// Refunds the charge of a request that did not run.
    pub fn refund(&mut self, ticket: &Ticket) {
        if let Some(workspace) = &ticket.workspace {
            self.quotas.refund(workspace, ticket.charge);
        }
    }
}
