//! Messages between instances about the catalogue.

use serde::{Deserialize, Serialize};

use crate::Revision;

use super::ChangeRequest;

/// A message about catalogue changes between instances. These messages save reads from the platform
/// and avoid the delay of the watch.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum CatalogueMessage {
    /// A change that was just written, or that the receiver has requested.
    Push {
        /// The revision that the change created.
        revision: Revision,
        /// The change.
        change: ChangeRequest,
    },
    /// Requests the changes after `revision`. The sender knows that it is behind and can't read the
    /// platform.
    RequestMissing {
        /// The revision in force on the sender.
        revision: Revision,
    },
}
