//! Where a stream began, which decides where it may go on.

use bluebellstage_core::{ServiceId, SoftwareVersion};
use serde::{Deserialize, Serialize};

/// The service and the software version of the target that sent a stream's first event. Versions of different
/// services have nothing to do with each other.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceId,
    /// The software version.
    pub software: SoftwareVersion,
}
