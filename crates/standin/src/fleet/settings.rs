//! Settings files of the instances.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use bluebellstage_core::KeyDigest;
use eyre::WrapErr;
use serde_json::{Value, json};

use super::{FleetConfig, InstanceSpec, ports};

/// An instance's settings file and its ports.
#[derive(Debug)]
pub(super) struct Prepared {
    pub(super) path: PathBuf,
    pub(super) caller_address: SocketAddr,
    pub(super) admin_address: SocketAddr,
}

/// Writes an instance's settings file.
///
/// # Errors
/// If no port is free or the file can't be written.
pub(super) fn write(
    cfg: &FleetConfig,
    spec: &InstanceSpec,
    platform: SocketAddr,
) -> eyre::Result<Prepared> {
    let [caller, peer, admin] = ports::free(3)?.try_into().unwrap_or([platform; 3]);
    let mut settings = json!({
        "instance": spec.name,
        "failure_domain": spec.failure_domain,
        "caller_address": caller,
        "peer_address": peer,
        "admin_address": admin,
        "admin_tokens": [token_digest(&cfg.admin_token)],
        "platform": { "url": format!("http://{platform}"), "namespace": "load", "pod": spec.name },
        "weight_store": {
            "loads_per_second": cfg.store.loads_per_second,
            "in_flight": cfg.store.in_flight,
        },
    });
    merge(&mut settings, &cfg.settings);
    let path = cfg.dir.join(format!("{}.yaml", spec.name));
    // JSON is YAML too.
    std::fs::write(&path, serde_json::to_string_pretty(&settings)?)
        .wrap_err_with(|| format!("{} can't be written", path.display()))?;
    Ok(Prepared {
        path,
        caller_address: caller,
        admin_address: admin,
    })
}

/// SHA-256 digest of a token, as settings hold it.
pub(crate) fn token_digest(token: &str) -> String {
    // Operators' tokens are digested as callers' keys are.
    let digest = serde_json::to_value(KeyDigest::of(token)).unwrap_or_default();
    let bytes = digest.as_array().cloned().unwrap_or_default();
    let mut hex = String::new();
    for byte in bytes.iter().filter_map(Value::as_u64) {
        // Writing to a string can't fail.
        let _infallible = write!(hex, "{byte:02x}");
    }
    hex
}

/// Puts the entries of `over` into `base`, section by section.
pub(crate) fn merge(base: &mut Value, over: &Value) {
    match (base, over) {
        (_, Value::Null) => {}
        (Value::Object(base), Value::Object(over)) => {
            for (key, value) in over {
                merge(base.entry(key.clone()).or_insert(Value::Null), value);
            }
        }
        (base, over) => *base = over.clone(),
    }
}
