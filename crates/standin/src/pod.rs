//! Pods, as the platform lists them.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use eyre::{WrapErr, ensure};
use serde::{Deserialize, Serialize};

/// Time for a pod to be put to the platform when a stand-in starts.
const PUT_TIMEOUT: Duration = Duration::from_secs(5);

/// A pod.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Pod {
    /// Who it is.
    pub metadata: PodMetadata,
    /// Where it runs.
    #[serde(default)]
    pub status: PodStatus,
}

/// Who a pod is.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, rename_all = "camelCase")]
pub struct PodMetadata {
    /// Its name.
    pub name: String,
    /// Labels, which lists select by.
    pub labels: BTreeMap<String, String>,
    /// Annotations.
    pub annotations: BTreeMap<String, String>,
    /// Set while it is leaving.
    pub deletion_timestamp: Option<String>,
}

/// Where a pod runs.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, rename_all = "camelCase")]
pub struct PodStatus {
    /// Its address.
    #[serde(rename = "podIP")]
    pub pod_ip: String,
}

impl Pod {
    /// A pod on loopback with the label `app`.
    #[must_use]
    pub fn new(name: &str, app: &str) -> Self {
        let mut pod = Self::default();
        pod.metadata.name = name.into();
        pod.metadata.labels.insert("app".into(), app.into());
        pod.status.pod_ip = "127.0.0.1".into();
        pod
    }

    /// The pod of one of our instances, which the platform may probe at `probe_port`.
    #[must_use]
    pub fn instance(name: &str, probe_port: u16) -> Self {
        Self::new(name, "bluebellstage").annotate(PROBE_PORT, probe_port)
    }

    /// The pod of a target.
    #[must_use]
    pub fn target(name: &str, port: u16, failure_domain: &str, kind: &str) -> Self {
        Self::new(name, "bluebellstage-target")
            .annotate("bluebellstage/port", port)
            .annotate("bluebellstage/failure-domain", failure_domain)
            .annotate("bluebellstage/kind", kind)
    }

    /// With an annotation.
    #[must_use]
    pub fn annotate(mut self, name: &str, value: impl Display) -> Self {
        self.metadata
            .annotations
            .insert(name.into(), value.to_string());
        self
    }

    /// Leaving.
    #[must_use]
    pub fn leaving(mut self) -> Self {
        self.metadata.deletion_timestamp = Some("2026-01-01T00:00:00Z".into());
        self
    }

    /// Puts the pod to a platform stand-in.
    ///
    /// # Errors
    /// If the platform can't be reached or refuses.
    pub async fn put_to(&self, platform: SocketAddr) -> eyre::Result<()> {
        let url = format!("http://{platform}/control/pods/{}", self.metadata.name);
        let response = client()?
            .put(url)
            .timeout(PUT_TIMEOUT)
            .json(self)
            .send()
            .await
            .wrap_err_with(|| format!("no platform answers at {platform}: start it first"))?;
        ensure!(
            response.status().is_success(),
            "the platform at {platform} refused the pod"
        );
        Ok(())
    }
}

/// Annotation with the port at which the platform probes one of our instances.
pub(crate) const PROBE_PORT: &str = "bluebellstage/probe-port";

/// An HTTP client that goes straight to where it is told.
pub(crate) fn client() -> eyre::Result<reqwest::Client> {
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .tcp_nodelay(true)
        .build()
        .wrap_err("the HTTP client can't be built")
}
