//! What instances tell each other of the catalogue.

use serde::{Deserialize, Serialize};

use crate::Revision;

use super::ChangeRequest;

/// Catalogue changes between instances; they save the platform reads and the watch its delay.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum CatalogueMessage {
    /// A change just written.
    Push {
        /// The revision that it gives.
        revision: Revision,
        /// The change.
        change: ChangeRequest,
    },
    /// The sender knows that it is behind and can't read the platform: it wants what comes after
    /// this revision.
    Missing {
        /// The revision that it has in force.
        revision: Revision,
    },
}
