//! From the platform's pods to instances and targets.

use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use bluebellstage_core::{Incarnation, ListedInstance, SoftwareVersion, TargetInfo, TargetKind};

use crate::process::log_event;

use super::wire::{Pod, PodList};

/// Label selector of our instances, as it stands in a URL.
pub(super) const INSTANCES: &str = "app%3Dbluebellstage";
/// Label selector of targets, as it stands in a URL.
pub(super) const TARGETS: &str = "app%3Dbluebellstage-target";
/// Annotation that tells an instance's life.
pub(super) const INCARNATION: &str = "bluebellstage/incarnation";

const PORT: &str = "bluebellstage/port";
const FAILURE_DOMAIN: &str = "bluebellstage/failure-domain";
const KIND: &str = "bluebellstage/kind";
const BASE_MODEL: &str = "bluebellstage/base-model";
const SLOTS: &str = "bluebellstage/slots";
const MAX_BATCH: &str = "bluebellstage/max-batch";
const CHECKS_FENCING: &str = "bluebellstage/checks-fencing";
const SOFTWARE_VERSION: &str = "bluebellstage/software-version";
const SERVICE: &str = "bluebellstage/service";
const CONCURRENCY: &str = "bluebellstage/concurrency";

/// The instances of a list; malformed pods are left out and logged.
pub(super) fn instances(list: &PodList) -> Vec<ListedInstance> {
    list.items.iter().filter_map(instance).collect()
}

/// The targets of a list; malformed pods are left out and logged.
pub(super) fn targets(list: &PodList) -> Vec<TargetInfo> {
    list.items
        .iter()
        .filter_map(|pod| logged(pod, target(pod)))
        .collect()
}

fn instance(pod: &Pod) -> Option<ListedInstance> {
    // An instance that only starts has not noted its life yet: no mistake.
    let incarnation = pod.metadata.annotations.get(INCARNATION)?;
    let parsed = incarnation
        .parse()
        .map_err(|_not_a_number| Malformed(INCARNATION));
    let id = parse(&pod.metadata.name, "metadata.name");
    let listed = id.and_then(|id| {
        Ok(ListedInstance {
            id,
            incarnation: Incarnation(parsed?),
            leaving: is_leaving(pod),
        })
    });
    logged(pod, listed)
}

fn target(pod: &Pod) -> Result<TargetInfo, Malformed> {
    let ip: IpAddr = parse(
        pod.status.pod_ip.as_deref().unwrap_or_default(),
        "status.podIP",
    )?;
    Ok(TargetInfo {
        id: parse(&pod.metadata.name, "metadata.name")?,
        address: SocketAddr::new(ip, annotation(pod, PORT)?),
        failure_domain: annotation(pod, FAILURE_DOMAIN)?,
        kind: kind(pod)?,
        leaving: is_leaving(pod),
    })
}

fn kind(pod: &Pod) -> Result<TargetKind, Malformed> {
    match annotation::<String>(pod, KIND)?.as_str() {
        "engine" => Ok(TargetKind::Engine {
            base_model: annotation(pod, BASE_MODEL)?,
            slots: annotation(pod, SLOTS)?,
            max_batch: annotation(pod, MAX_BATCH)?,
            checks_fencing: annotation(pod, CHECKS_FENCING)?,
            software: software(pod)?,
        }),
        "service" => Ok(TargetKind::Service {
            service: annotation(pod, SERVICE)?,
            concurrency: annotation(pod, CONCURRENCY)?,
        }),
        _ => Err(Malformed(KIND)),
    }
}

/// The version of an engine's software; engines that don't name one are taken as alike.
fn software(pod: &Pod) -> Result<SoftwareVersion, Malformed> {
    match pod.metadata.annotations.get(SOFTWARE_VERSION) {
        None => Ok(SoftwareVersion::default()),
        Some(raw) => parse(raw, SOFTWARE_VERSION),
    }
}

const fn is_leaving(pod: &Pod) -> bool {
    pod.metadata.deletion_timestamp.is_some()
}

/// What a pod lacks or has in a form that does not parse.
#[derive(Clone, Copy, Debug)]
struct Malformed(&'static str);

fn annotation<T: FromStr>(pod: &Pod, name: &'static str) -> Result<T, Malformed> {
    let raw = pod.metadata.annotations.get(name).ok_or(Malformed(name))?;
    parse(raw, name)
}

fn parse<T: FromStr>(raw: &str, what: &'static str) -> Result<T, Malformed> {
    raw.parse().map_err(|_unparsable| Malformed(what))
}

fn logged<T>(pod: &Pod, parsed: Result<T, Malformed>) -> Option<T> {
    match parsed {
        Ok(parsed) => Some(parsed),
        Err(Malformed(what)) => {
            log_event!(PodMalformed, "pod" = pod.metadata.name, "cause" = what);
            None
        }
    }
}
