//! What operators are told about shares.

use bluebellstage_core::{ServiceId, WorkspaceId};

use super::share::Share;
use super::shortage::Shortage;

/// A change of a shortage, or of a workspace's standing in one.
#[derive(Clone, Debug, PartialEq)]
pub enum ShareChange {
    /// The targets of a service became short of room.
    ShortageBegun {
        /// The service.
        service: ServiceId,
        /// Requests that wait at all instances, as far as known.
        waiting: u32,
        /// Requests that this instance refused for want of room since the shortage showed.
        refused: u32,
    },
    /// The targets of a service have room again: nobody is held back.
    ShortageEnded {
        /// The service.
        service: ServiceId,
    },
    /// A workspace went beyond its share.
    Beyond {
        /// The service.
        service: ServiceId,
        /// The workspace.
        workspace: WorkspaceId,
        /// Its share and its spending.
        share: Share,
        /// Requests that wait at all instances, as far as known.
        waiting: u32,
    },
    /// A workspace is within its share again.
    Within {
        /// The service.
        service: ServiceId,
        /// The workspace.
        workspace: WorkspaceId,
        /// Its share and its spending.
        share: Share,
        /// Requests that wait at all instances, as far as known.
        waiting: u32,
    },
}

impl ShareChange {
    pub(super) fn shortage(service: &ServiceId, shortage: &Shortage, is_short: bool) -> Self {
        let service = service.clone();
        if is_short {
            Self::ShortageBegun {
                service,
                waiting: shortage.waiting(),
                refused: shortage.refused(),
            }
        } else {
            Self::ShortageEnded { service }
        }
    }

    pub(super) fn workspace(
        service: &ServiceId,
        workspace: &WorkspaceId,
        share: Share,
        shortage: &Shortage,
    ) -> Self {
        let (service, workspace) = (service.clone(), workspace.clone());
        let waiting = shortage.waiting();
        if share.is_beyond() {
            Self::Beyond {
                service,
                workspace,
                share,
                waiting,
            }
        } else {
            Self::Within {
                service,
                workspace,
                share,
                waiting,
            }
        }
    }
}
