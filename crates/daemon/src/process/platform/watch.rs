//! Watching the platform's objects, for hints of changes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bluebellstage_core::{Event, ObjectVersion};
use futures::StreamExt;
use reqwest::{Response, StatusCode};
use tokio::time::{sleep, timeout, timeout_at};
use tokio_util::bytes::BytesMut;

use crate::process::{Shell, log_event};
use crate::retry::Backoff;

use super::wire::WatchLine;

/// How long the platform is asked to hold one watch open.
const HOLD: Duration = Duration::from_secs(30);
/// What a watch gets beyond that before it counts as broken.
const SLACK: Duration = Duration::from_secs(5);
/// A watch that held this long was sound.
const SETTLED: Duration = Duration::from_secs(5);
/// A line longer than this is no hint: names and versions are short.
const MAX_LINE: usize = 1 << 20;

/// Watches until the task is dropped, opening the watch again whenever it ends.
pub(in crate::process) async fn watch(shell: Arc<Shell>) {
    let mut backoff = Backoff::default();
    let mut from = ObjectVersion(0);
    loop {
        from = from.max(shell.platform.newest());
        let opened = Instant::now();
        match follow(&shell, &mut from).await {
            WatchEnd::Closed => log_event!(WatchEnded, "cause" = "closed"),
            WatchEnd::TooOld => from = ObjectVersion(0),
            WatchEnd::Failed(cause) => log_event!(WatchEnded, "cause" = cause),
        }
        // A platform that closes every watch at once must not be asked for one in a tight loop.
        if opened.elapsed() > SETTLED {
            backoff.reset();
        }
        sleep(backoff.next_delay()).await;
    }
}

/// Why a watch ended.
enum WatchEnd {
    /// The platform held it as long as it was asked to.
    Closed,
    /// The platform no longer knows that version.
    TooOld,
    /// It could not be opened or broke off.
    Failed(&'static str),
}

async fn follow(shell: &Arc<Shell>, from: &mut ObjectVersion) -> WatchEnd {
    let response = match open(shell, *from).await {
        Ok(response) => response,
        Err(cause) => return WatchEnd::Failed(cause),
    };
    shell.metrics.platform_call("watch", "ok");
    match response.status() {
        StatusCode::OK => {}
        StatusCode::GONE if *from > ObjectVersion(0) => return WatchEnd::TooOld,
        _ => return WatchEnd::Failed("refused"),
    }
    let until = Instant::now() + HOLD + SLACK;
    let mut chunks = response.bytes_stream();
    let mut buf = BytesMut::new();
    loop {
        match timeout_at(until.into(), chunks.next()).await {
            Ok(Some(Ok(chunk))) => buf.extend_from_slice(&chunk),
            Ok(None) => return WatchEnd::Closed,
            Ok(Some(Err(_))) => return WatchEnd::Failed("broken connection"),
            Err(_) => return WatchEnd::Failed("silent or without an end"),
        }
        while let Some(end) = buf.iter().position(|byte| *byte == b'\n') {
            let line = buf.split_to(end + 1);
            hint(shell, &line, from);
        }
        if buf.len() > MAX_LINE {
            return WatchEnd::Failed("line too long");
        }
    }
}

async fn open(shell: &Shell, from: ObjectVersion) -> Result<Response, &'static str> {
    let platform = &shell.platform;
    let hold = HOLD.as_secs();
    let since = if from > ObjectVersion(0) {
        format!("&resourceVersion={from}")
    } else {
        String::new()
    };
    let url = format!(
        "{}/configmaps?watch=true&timeoutSeconds={hold}{since}",
        platform.base
    );
    let request = platform.http.get(url);
    match timeout(shell.settings.platform.timeout, request.send()).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(_)) => Err("no connection"),
        Err(_) => Err("timeout"),
    }
}

/// Passes a change on; only a hint, so a line that doesn't parse is skipped.
fn hint(shell: &Arc<Shell>, line: &[u8], from: &mut ObjectVersion) {
    let Ok(line) = serde_json::from_slice::<WatchLine>(line) else {
        return;
    };
    let metadata = line.object.metadata;
    let version = metadata.resource_version.and_then(|raw| raw.parse().ok());
    *from = version.map_or(*from, |version: ObjectVersion| version.max(*from));
    if let Ok(name) = metadata.name.as_ref().try_into() {
        shell.feed(Event::ObjectChanged(name));
    }
}
