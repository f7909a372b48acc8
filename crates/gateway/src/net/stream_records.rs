//! Reads and writes what the store keeps of streams.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::Revision;

use crate::decide::store::kind::Kind;
use crate::decide::streams::origins::{FoundRecord, RecordName, RecordStep, RecordWrite};
use crate::edge::{Content, Edge, Listing, Object, ObjectStore};
use crate::error::StoreError;

use super::log::{LogEvent, event};
use super::node::Node;
use super::sync::record_malformed;

/// Interval of the checks whether the store has responded to this instance.
const STORE_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Reads and writes records until the process ends.
pub(super) async fn run<E: Edge>(node: Arc<Node<E>>) {
    node.wait_for_peer_list().await;
    loop {
        // Another kind of objects shows whether the store responds to a new instance.
        if !node.is_store_reached() {
            node.wait_for_store(STORE_CHECK_INTERVAL).await;
            continue;
        }
        let era = node.store_era();
        let step = node.tables().next_record_step(era, node.now());
        match step {
            RecordStep::Sleep(pause) => tokio::time::sleep(pause).await,
            RecordStep::List => list(&node).await,
            RecordStep::Read(name) => read(&node, name).await,
            RecordStep::Write(record) => write(&node, record).await,
            RecordStep::Remove(name) => remove(&node, name).await,
        }
    }
}

/// Returns a record as found; `None` if no instance writes an object of that name.
fn found<E: Edge>(node: &Node<E>, object: Object) -> Option<FoundRecord> {
    let name = RecordName::parse(&object.name)?;
    let record = match object.content {
        Some(Content::Streams(record)) => Some(record),
        Some(Content::Malformed(cause)) => {
            record_malformed(node, Kind::Streams, &object.name, &cause);
            None
        }
        _ => None,
    };
    Some(FoundRecord {
        name,
        revision: object.revision,
        record,
    })
}

async fn list<E: Edge>(node: &Node<E>) {
    let listed = node.store.list(Kind::Streams).await;
    node.metrics.streams.record_call("list", &listed);
    let objects = match listed {
        Ok(Listing { objects, .. }) => objects,
        Err(err) => {
            log_failure("list", "all", &err);
            let now = node.now();
            node.tables().record_list_failed(now);
            return;
        }
    };
    let records = objects
        .into_iter()
        .filter_map(|object| found(node, object))
        .collect::<Vec<_>>();
    let count = records.len().to_string();
    let now = node.now();
    let streams = node.tables().record_listed(records, now).to_string();
    event(
        LogEvent::StreamRecordsRead,
        &[("records", &count), ("streams", &streams)],
    );
    // Requests wait for what was read.
    node.origin_replied.notify_waiters();
}

async fn read<E: Edge>(node: &Node<E>, name: RecordName) {
    let result = node.store.read(Kind::Streams, &name.to_string()).await;
    node.metrics.streams.record_call("read", &result);
    let now = node.now();
    match result {
        Ok(object) => {
            let record = object.and_then(|object| found(node, object));
            node.tables().record_read(&name, record, now);
        }
        Err(err) => record_failure(node, "read", &name, &err),
    }
}

async fn write<E: Edge>(node: &Node<E>, write: RecordWrite) {
    let content = Content::Streams(write.record.clone());
    let name = write.name.to_string();
    let written: Result<Revision, _> = node
        .store
        .write(Kind::Streams, &name, write.at, &content)
        .await;
    node.metrics.streams.record_call("write", &written);
    let now = node.now();
    match written {
        Ok(revision) => node.tables().record_written(write, revision, now),
        Err(err) => record_failure(node, "write", &write.name, &err),
    }
}

async fn remove<E: Edge>(node: &Node<E>, name: RecordName) {
    let removed = node.store.remove(Kind::Streams, &name.to_string()).await;
    node.metrics.streams.record_call("remove", &removed);
    match removed {
        Ok(()) | Err(StoreError::Missing) => node.tables().record_removed(&name),
        Err(err) => record_failure(node, "remove", &name, &err),
    }
}

fn record_failure<E: Edge>(
    node: &Node<E>,
    call: &'static str,
    name: &RecordName,
    err: &StoreError,
) {
    log_failure(call, &name.to_string(), err);
    let now = node.now();
    node.tables().record_call_failed(name, now);
}

fn log_failure(call: &'static str, name: &str, err: &StoreError) {
    let cause = err.to_string();
    event(
        LogEvent::StreamRecordFailed,
        &[("call", call), ("record", name), ("cause", &cause)],
    );
}
