//! How many descriptors the process may have open.

use rustix::process::{Resource, getrlimit};

use crate::decide::connection_cap::DescriptorLimit;

/// Returns the lower one of the machine's limit, if that is known, and the limit that the kernel enforces.
pub(super) fn descriptor_limit(of_machine: Option<DescriptorLimit>) -> Option<DescriptorLimit> {
    let enforced = getrlimit(Resource::Nofile).current;
    let enforced = enforced.and_then(|limit| usize::try_from(limit).ok());
    let enforced = enforced.map(DescriptorLimit);
    [of_machine, enforced].into_iter().flatten().min()
}
