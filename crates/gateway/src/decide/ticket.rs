//! A request that was admitted, and what holds for it until it ends.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{Revision, ServiceId, SoftwareVersion, Time, WorkspaceId};

use super::config::Route;
use super::ranked_tokens::RankClass;
use super::rendezvous::ShortHash;
use super::routes::RouteTable;
use super::streams::origins::StreamOrigin;
use super::target::Target;
use super::wait_queue::Patience;

/// An admitted request.
#[derive(Clone, Debug)]
pub struct Ticket {
    pub(super) routes: Arc<RouteTable>,
    pub(super) route: usize,
    /// The service that runs it.
    pub service: ServiceId,
    /// The workspace that is charged.
    pub workspace: Option<WorkspaceId>,
    /// Units that were charged.
    pub charge: u64,
    /// Time to wait until the quota allows the request.
    pub quota_wait: Duration,
    /// Priority rank; 0 comes first.
    pub rank: u8,
    /// Software version that began the request's stream; only its targets may continue it. `None` if the stream has
    /// not begun.
    pub software: Option<SoftwareVersion>,
    /// Until when its start is worth something; without it the request never waits for room.
    pub patience: Option<Patience>,
    /// Whether it has waited for room.
    pub waits: bool,
    /// When it was recorded here as one on which the budget of retries is based; `None` if another instance records it.
    pub counted_at: Option<Time>,
    /// Whether it may be forwarded to the owner of a brittle target.
    pub may_go_to_owner: bool,
}

impl Ticket {
    /// The route.
    #[must_use]
    pub fn route(&self) -> &Route {
        self.routes.route(self.route)
    }

    /// Class of its rank among those of its service.
    #[must_use]
    pub fn rank_class(&self) -> RankClass {
        self.routes.rank_class(&self.service, self.rank)
    }

    /// Class of its rank where loads for more urgent requests come first; elsewhere all are alike.
    #[must_use]
    pub fn load_class(&self) -> RankClass {
        if self.later_ranks_can_wait() {
            self.rank_class()
        } else {
            RankClass::default()
        }
    }

    /// Whether later ranks of its service leave room to requests of earlier ones that wait.
    #[must_use]
    pub fn later_ranks_can_wait(&self) -> bool {
        self.routes.later_ranks_can_wait(&self.service)
    }

    /// Version of the configuration under which the request was admitted.
    #[must_use]
    pub fn config(&self) -> Revision {
        self.routes.version()
    }

    /// Whether the request's stream has begun. Its caller waits for it to go on, and for no first event in time.
    #[must_use]
    pub const fn has_begun(&self) -> bool {
        self.software.is_some()
    }

    /// Returns where the request's stream began; `None` if it has not.
    #[must_use]
    pub fn stream_origin(&self) -> Option<StreamOrigin> {
        let software = self.software.clone()?;
        let service = ShortHash::of(self.service.as_str());
        Some(StreamOrigin { service, software })
    }

    /// Holds the request to the origin of the stream that it continues. If its route no longer leads to that service,
    /// the one that was drawn remains, and only targets of the same software version may run it.
    pub fn hold_to(&mut self, origin: &StreamOrigin) {
        let mut split = self.route().split.iter();
        let began = split.find(|(service, weight)| {
            *weight > 0 && ShortHash::of(service.as_str()) == origin.service
        });
        if let Some((service, _)) = began {
            self.service = service.clone();
        }
        self.software = Some(origin.software.clone());
    }

    /// Whether a target may run the request, by its service and its software version.
    #[must_use]
    pub fn allows(&self, target: &Target) -> bool {
        let is_of_version = |version: &SoftwareVersion| *version == target.software;
        target.service == self.service && self.software.as_ref().is_none_or(is_of_version)
    }
}
