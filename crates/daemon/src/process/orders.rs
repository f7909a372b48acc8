//! Orders to engines: load, unload, report.

use std::time::Duration;

use bluebellstage_core::{AdapterRef, EngineReport, OrderOutcome, TargetOrder, TargetOrderKind};
use reqwest::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, timeout};

use crate::connection::read_json;

use super::Shell;

/// Header that carries the issuer's fencing number.
const FENCING_HEADER: &str = "X-Fencing-Token";

/// How long a load report may take: a late one says nothing about now.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest load report. It names each resident adapter.
const MAX_REPORT_BYTES: u64 = 256 * 1_024;

/// Largest error of an engine.
const MAX_ERROR_BYTES: u64 = 64 * 1_024;

/// Error code of an engine that refuses an old fencing number.
const FENCED: &str = "fenced";

#[derive(Debug, Serialize)]
struct AdapterOrder {
    lora_name: String,
}

#[derive(Debug, Deserialize)]
struct EngineError {
    error: EngineErrorBody,
}

#[derive(Debug, Deserialize)]
struct EngineErrorBody {
    code: Box<str>,
}

/// Sends an order, once, and says what became of it.
pub(super) async fn send(shell: &Shell, order: &TargetOrder) -> OrderOutcome {
    let limit = match order.kind {
        TargetOrderKind::Report => REPORT_TIMEOUT,
        TargetOrderKind::Load(_) | TargetOrderKind::Unload(_) => {
            shell.settings.limits.order_timeout
        }
    };
    let begun = Instant::now();
    let sent = timeout(limit, carry_out(shell, order)).await;
    let outcome = sent.unwrap_or(OrderOutcome::Unknown);
    note(shell, order, &outcome, begun.elapsed());
    outcome
}

async fn carry_out(shell: &Shell, order: &TargetOrder) -> OrderOutcome {
    match &order.kind {
        TargetOrderKind::Load(adapter) => {
            adapter_order(shell, order, "load_lora_adapter", adapter).await
        }
        TargetOrderKind::Unload(adapter) => {
            adapter_order(shell, order, "unload_lora_adapter", adapter).await
        }
        TargetOrderKind::Report => report(shell, order).await,
    }
}

async fn adapter_order(
    shell: &Shell,
    order: &TargetOrder,
    path: &str,
    adapter: &AdapterRef,
) -> OrderOutcome {
    let url = format!("http://{}/v1/{path}", order.address);
    let body = AdapterOrder {
        lora_name: adapter.to_string(),
    };
    let request = shell.targets.pooled.post(url).json(&body);
    let sent = request
        .header(FENCING_HEADER, order.fencing.to_string())
        .send()
        .await;
    match sent {
        Ok(response) => order_outcome(order, response).await,
        // No connection: no byte of the order left.
        Err(error) if error.is_connect() => OrderOutcome::Failed,
        Err(_) => OrderOutcome::Unknown,
    }
}

async fn order_outcome(order: &TargetOrder, response: Response) -> OrderOutcome {
    let unloads = matches!(order.kind, TargetOrderKind::Unload(_));
    match response.status() {
        StatusCode::OK => OrderOutcome::Done,
        // What is not loaded is unloaded.
        StatusCode::NOT_FOUND if unloads => OrderOutcome::Done,
        StatusCode::CONFLICT => match read_json::<EngineError>(response, MAX_ERROR_BYTES).await {
            Some(body) if *body.error.code == *FENCED => OrderOutcome::Fenced,
            Some(_) | None => OrderOutcome::Failed,
        },
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE => OrderOutcome::Failed,
        status if status.is_client_error() => OrderOutcome::Failed,
        _ => OrderOutcome::Unknown,
    }
}

async fn report(shell: &Shell, order: &TargetOrder) -> OrderOutcome {
    let url = format!("http://{}/load", order.address);
    let response = match shell.targets.pooled.get(url).send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return OrderOutcome::Failed,
        Err(_) => return OrderOutcome::Unknown,
    };
    if response.status() != StatusCode::OK {
        return OrderOutcome::Failed;
    }
    match read_json::<EngineReport>(response, MAX_REPORT_BYTES).await {
        Some(report) => OrderOutcome::Reported(report),
        None => OrderOutcome::Unknown,
    }
}

fn note(shell: &Shell, order: &TargetOrder, outcome: &OrderOutcome, took: Duration) {
    match (&order.kind, outcome) {
        (TargetOrderKind::Load(_), outcome) => {
            let loaded = matches!(outcome, OrderOutcome::Done);
            shell.metrics.load_ended(loaded, took);
        }
        (TargetOrderKind::Report, OrderOutcome::Reported(report)) => {
            shell
                .metrics
                .engine_running(order.target.as_str(), report.running);
        }
        (TargetOrderKind::Report | TargetOrderKind::Unload(_), _) => {}
    }
}
