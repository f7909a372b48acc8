//! Drops the pods of instances whose port refuses connections.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

use super::state::PlatformState;
use crate::Pod;
use crate::pod::PROBE_PORT;

/// Refused connections in a row after which a pod is dropped.
const REFUSALS: u32 = 2;

/// Probes for as long as the platform runs.
pub(super) async fn run(state: Arc<PlatformState>, every: Duration) {
    let mut refusals: BTreeMap<String, u32> = BTreeMap::new();
    loop {
        tokio::time::sleep(every).await;
        for pod in state.pods() {
            let Some(address) = probe_address(&pod) else {
                continue;
            };
            let name = pod.metadata.name;
            if !refuses(&address, every).await {
                refusals.remove(&name);
                continue;
            }
            let count = refusals.entry(name.clone()).or_default();
            *count += 1;
            if *count >= REFUSALS {
                state.remove_pod(&name);
                refusals.remove(&name);
            }
        }
    }
}

fn probe_address(pod: &Pod) -> Option<String> {
    let port = pod.metadata.annotations.get(PROBE_PORT)?;
    Some(format!("{}:{port}", pod.status.pod_ip))
}

// A stopped process still accepts connections: only a refusal shows that it is gone.
async fn refuses(address: &str, limit: Duration) -> bool {
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(Err(err)) => err.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
