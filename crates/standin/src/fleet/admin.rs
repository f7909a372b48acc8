//! An instance's administration API.

use std::net::SocketAddr;
use std::time::Duration;

use bluebellstage_core::ChangeId;
use bluebellstage_core::catalogue::{ApplyOutcome, Change, ChangeRequest};
use eyre::{WrapErr, bail};
use reqwest::Method;
use serde_json::Value;

/// Time for one call.
const CALL_LIMIT: Duration = Duration::from_secs(15);

/// Times that a change is offered again while it can't be written yet.
const APPLY_TRIES: u32 = 20;

/// Time between two of these.
const APPLY_PAUSE: Duration = Duration::from_millis(250);

/// An instance's administration API.
#[derive(Clone, Debug)]
pub struct Admin {
    /// Where operators connect.
    pub address: SocketAddr,
    token: String,
    http: reqwest::Client,
}

impl Admin {
    /// A client of the API at `address`.
    ///
    /// # Errors
    /// If no HTTP client can be made.
    pub fn new(address: SocketAddr, token: &str) -> eyre::Result<Self> {
        Ok(Self {
            address,
            token: token.into(),
            http: crate::pod::client()?,
        })
    }

    /// Whether callers can be served there.
    pub async fn is_ready(&self) -> bool {
        let response = self.request(Method::GET, "/ready").send().await;
        response.is_ok_and(|response| response.status().is_success())
    }

    /// Its metrics now.
    ///
    /// # Errors
    /// If it does not answer.
    pub async fn metrics(&self) -> eyre::Result<Metrics> {
        let response = self.request(Method::GET, "/metrics").send().await;
        let response = response.wrap_err_with(|| format!("{} does not answer", self.address))?;
        Ok(Metrics {
            text: response.text().await?,
        })
    }

    /// Reads a document below `/admin/v1`, such as `status`.
    ///
    /// # Errors
    /// If it does not answer or refuses.
    pub async fn read(&self, what: &str) -> eyre::Result<Value> {
        let request = self.request(Method::GET, &format!("/admin/v1/{what}"));
        let response = request.send().await?.error_for_status()?;
        Ok(response.json().await?)
    }

    /// Begins a planned stop.
    ///
    /// # Errors
    /// If it does not answer.
    pub async fn stop(&self) -> eyre::Result<()> {
        let request = self.request(Method::POST, "/admin/v1/stop");
        request.send().await?.error_for_status()?;
        Ok(())
    }

    /// Writes a change; the revision at which it is in force.
    ///
    /// # Errors
    /// If it is refused, or can't be written for several seconds.
    pub async fn apply(&self, id: &str, changes: &[Change]) -> eyre::Result<u64> {
        let request = ChangeRequest {
            id: ChangeId::try_from(id)?,
            expected: None,
            changes: changes.to_vec(),
        };
        for _ in 0..APPLY_TRIES {
            // A change keeps its name: an offer whose outcome is unknown can be made again.
            match self.offer(&request).await? {
                ApplyOutcome::Accepted { revision } => return Ok(revision.0),
                ApplyOutcome::Invalid { cause } => bail!("the change is refused: {cause}"),
                ApplyOutcome::Stale { .. } | ApplyOutcome::Unavailable | ApplyOutcome::Unknown => {
                    tokio::time::sleep(APPLY_PAUSE).await;
                }
            }
        }
        bail!("the change can't be written at {}", self.address)
    }

    /// Offers a change once.
    ///
    /// # Errors
    /// If there is no answer, or it is no outcome.
    pub async fn offer(&self, request: &ChangeRequest) -> eyre::Result<ApplyOutcome> {
        let call = self
            .request(Method::POST, "/admin/v1/changes")
            .json(request);
        let response = call.send().await.wrap_err("no answer to a change")?;
        let status = response.status();
        let text = response.text().await?;
        serde_json::from_str(&text)
            .wrap_err_with(|| format!("a change was answered {status}: {text}"))
    }

    fn request(&self, method: Method, path: &str) -> reqwest::RequestBuilder {
        self.http
            .request(method, format!("http://{}{path}", self.address))
            .timeout(CALL_LIMIT)
            .bearer_auth(&self.token)
    }
}

/// An instance's metrics at one moment.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    text: String,
}

impl Metrics {
    /// Sum over all series of a metric; zero where there are none.
    #[must_use]
    pub fn sum(&self, name: &str) -> f64 {
        let values = self.text.lines().filter_map(|line| {
            let (series, value) = line.rsplit_once(' ')?;
            let metric = series.split('{').next()?;
            (metric == name).then(|| value.parse::<f64>().ok())?
        });
        values.sum()
    }

    /// The catalogue in force there.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a revision is a small whole number"
    )]
    pub fn catalogue_revision(&self) -> u64 {
        self.sum("bluebellstage_catalogue_revision") as u64
    }

    /// Bytes sent to other instances so far.
    #[must_use]
    pub fn control_sent_bytes(&self) -> f64 {
        self.sum("bluebellstage_control_sent_bytes_total")
    }

    /// The whole text.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }
}
