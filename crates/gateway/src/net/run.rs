//! Runs an instance.

use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time};
use tokio::net::UdpSocket;

use crate::decide::pace::DroppedReports;
use crate::edge::{Edge, Kind};
use crate::error::GatewayError;
use crate::settings::NodeSettings;

use super::accept::{ListenerKind, serve};
use super::log::{LogEvent, event};
use super::node::Node;
use super::signals::Signals;
use super::sockets::{limit_buffers, listen};
use super::{
    brittle_checks, confirmations, first_reports, follow, gossip, leases, loaders, memory, origins,
    paths, peer_copy, quarantine, reload, restorations, stop, stream_records, sync, wait_places,
};

/// Interval between two removals of expired state.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Runs the instance until a planned stop has finished.
///
/// # Errors
///
/// An address can't be listened on.
pub async fn run<E: Edge>(
    settings: NodeSettings,
    source: E::Settings,
    protocol: E::Protocol,
    store: E::Store,
    signals: Signals,
) -> Result<(), GatewayError> {
    let (node, packets) = Node::<E>::new(settings, protocol, store);
    let node = Arc::new(node);
    let settings = &node.settings;
    let listeners = [
        (Some(settings.member.front), ListenerKind::Front),
        (Some(settings.member.control), ListenerKind::Control),
        (settings.directory, ListenerKind::Directory),
        (settings.ready, ListenerKind::Directory),
    ];
    for (address, listener_kind) in listeners {
        let Some(address) = address else { continue };
        let listener = listen(address).map_err(|cause| GatewayError::Listen { address, cause })?;
        if node.memory.is_some() && listener_kind != ListenerKind::Control {
            limit_buffers(&listener);
        }
        tokio::spawn(serve(Arc::clone(&node), listener, listener_kind));
    }
    if let Some(address) = settings.metrics {
        // Another process on this machine may use the port. Callers are served all the same, and the
        // control address serves the metrics, too.
        match listen(address) {
            Ok(listener) => {
                tokio::spawn(serve(Arc::clone(&node), listener, ListenerKind::Control));
            }
            Err(err) => event(
                LogEvent::MetricsPortRefused,
                &[
                    ("address", &address.to_string()),
                    ("cause", &err.to_string()),
                ],
            ),
        }
    }
    let address = settings.member.gossip;
    let socket = UdpSocket::bind(address).await;
    let socket = socket.map_err(|cause| GatewayError::Listen { address, cause })?;
    tokio::spawn(gossip::run(Arc::clone(&node), socket, packets));
    for kind in [
        Kind::Config,
        Kind::Targets,
        Kind::AdapterVersions,
        Kind::Evacuations,
        Kind::Members,
    ] {
        tokio::spawn(follow::run(Arc::clone(&node), kind));
    }
    tokio::spawn(quarantine::load_decisions(Arc::clone(&node)));
    tokio::spawn(stream_records::run(Arc::clone(&node)));
    tokio::spawn(confirmations::run(Arc::clone(&node)));
    tokio::spawn(sync::register(Arc::clone(&node)));
    tokio::spawn(restorations::run(Arc::clone(&node)));
    tokio::spawn(peer_copy::run(Arc::clone(&node)));
    tokio::spawn(leases::run(Arc::clone(&node)));
    tokio::spawn(loaders::run(Arc::clone(&node)));
    tokio::spawn(paths::run(Arc::clone(&node)));
    tokio::spawn(wait_places::run(Arc::clone(&node)));
    tokio::spawn(brittle_checks::run(Arc::clone(&node)));
    tokio::spawn(first_reports::run(Arc::clone(&node)));
    tokio::spawn(memory::run(Arc::clone(&node)));
    tokio::spawn(sweep(Arc::clone(&node)));
    reload::run(Arc::clone(&node), source, signals.hangup);
    let [name, front] = [
        node.settings.member.name.to_string(),
        node.settings.member.front.to_string(),
    ];
    let max_connections = node.callers.max_connections().to_string();
    let fields = [
        ("instance", &*name),
        ("front", &front),
        ("max_connections", &max_connections),
    ];
    event(LogEvent::Started, &fields);
    stop::wait(node, signals.terminate).await;
    Ok(())
}

async fn sweep<E: Edge>(node: Arc<Node<E>>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now = node.now();
        node.tables().sweep(now);
        log_ended_departures(&node, now);
        log_dropped_reports(&node);
        quarantine::sweep(&node, now);
        origins::replicate(&node);
        node.pool.sweep();
        node.peer_pool.sweep();
        let config = Arc::clone(node.tables().routes.config());
        node.unnamed_services
            .sweep(|service| config.service(service).is_some());
        node.crash_checks.sweep(now);
        let registered = |target: &TargetId| node.tables().registry.get(target)?.born;
        node.told_starts.sweep(registered);
    }
}

/// Counts and logs the reports on the speed of targets that were dropped since the last sweep.
fn log_dropped_reports<E: Edge>(node: &Node<E>) {
    let dropped = node.tables().pace.take_dropped();
    if dropped == DroppedReports::default() {
        return;
    }
    let metrics = &node.metrics.streams;
    metrics.pace_dropped("unknown", dropped.unknown);
    metrics.pace_dropped("implausible", dropped.implausible);
    let [unknown, implausible] = [dropped.unknown, dropped.implausible].map(|n| n.to_string());
    let fields = [("unknown", &*unknown), ("implausible", &*implausible)];
    event(LogEvent::PaceDropped, &fields);
}

fn log_ended_departures<E: Edge>(node: &Node<E>, now: Time) {
    let ended = node.tables().sweep_departures(now);
    for target in ended {
        event(LogEvent::DepartureEnded, &[("target", target.as_str())]);
    }
}
