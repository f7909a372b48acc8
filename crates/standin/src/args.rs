//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use bluebellstage_standin::engine::EngineConfig;
use bluebellstage_standin::platform::PlatformConfig;
use bluebellstage_standin::service::ServiceConfig;
use bluebellstage_standin::store::StoreConfig;

/// Development only: small fakes of the systems around bluebellstage.
#[derive(Debug, FromArgs)]
pub struct Args {
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Platform(PlatformArgs),
    Engine(EngineArgs),
    Service(ServiceArgs),
    Store(StoreArgs),
    Load(LoadArgs),
    Bench(BenchArgs),
    Demo(DemoArgs),
    Instance(InstanceArgs),
}

/// The platform: object API, lagging list of pods, controls.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct PlatformArgs {
    /// port on loopback; 0 for any
    #[argh(option)]
    port: u16,
    /// how far the list of pods lags, in milliseconds; default 1500
    #[argh(option, default = "1_500")]
    list_lag_ms: u64,
    /// milliseconds between two probes of the instances' ports; a pod whose port refuses twice is dropped; default: no probes
    #[argh(option)]
    probe_ms: Option<u64>,
    /// changes kept for watches that begin in the past; default 1000
    #[argh(option, default = "1_000")]
    watch_kept_changes: usize,
    /// only count requests, keep none of them for the log
    #[argh(switch)]
    forget_requests: bool,
}

impl From<PlatformArgs> for PlatformConfig {
    fn from(args: PlatformArgs) -> Self {
        Self {
            port: args.port,
            list_lag: Duration::from_millis(args.list_lag_ms),
            probe: args.probe_ms.map(Duration::from_millis),
            kept_changes: args.watch_kept_changes,
            keep_requests: !args.forget_requests,
        }
    }
}

/// A model engine.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct EngineArgs {
    /// port on loopback; 0 for any
    #[argh(option)]
    port: u16,
    /// name as a target
    #[argh(option)]
    name: String,
    /// address of the platform to put its pod to; default: none
    #[argh(option)]
    platform: Option<SocketAddr>,
    /// address of the weight store; default: loads need none
    #[argh(option)]
    store: Option<SocketAddr>,
    /// the base model it runs; default base
    #[argh(option, default = "String::from(\"base\")")]
    base_model: String,
    /// adapters held at once; default 8
    #[argh(option, default = "8")]
    slots: usize,
    /// requests batched at once; default 8
    #[argh(option, default = "8")]
    max_batch: usize,
    /// requests that wait inside; more are answered 429; default 256
    #[argh(option, default = "256")]
    max_waiting: usize,
    /// where it runs; default a
    #[argh(option, default = "String::from(\"a\")")]
    failure_domain: String,
    /// obey orders with an old fencing number
    #[argh(switch)]
    no_fencing: bool,
    /// time to prefill one token of a prompt, in microseconds; default 100
    #[argh(option, default = "100")]
    prefill_us_per_token: u64,
    /// time to decode one token for a batch of one, in milliseconds; default 15
    #[argh(option, default = "15.0")]
    decode_ms: f64,
    /// what each further request in the batch adds to that, in microseconds; default 300
    #[argh(option, default = "300")]
    decode_us_per_request: u64,
    /// how far the report lags, in milliseconds; default 300
    #[argh(option, default = "300")]
    report_lag_ms: u64,
    /// prompt prefixes that its cache holds; default 64
    #[argh(option, default = "64")]
    cached_prefixes: usize,
    /// keep no requests for the log, only what ran
    #[argh(switch)]
    forget_requests: bool,
}

impl From<EngineArgs> for EngineConfig {
    fn from(args: EngineArgs) -> Self {
        Self {
            port: args.port,
            name: args.name,
            platform: args.platform,
            store: args.store,
            base_model: args.base_model,
            slots: args.slots,
            max_batch: args.max_batch,
            max_waiting: args.max_waiting,
            failure_domain: args.failure_domain,
            checks_fencing: !args.no_fencing,
            prefill_per_token: Duration::from_micros(args.prefill_us_per_token),
            decode: Duration::from_secs_f64(args.decode_ms / 1_000.0),
            decode_per_request: Duration::from_micros(args.decode_us_per_request),
            report_lag: Duration::from_millis(args.report_lag_ms),
            cached_prefixes: args.cached_prefixes,
            keep_requests: !args.forget_requests,
            ..Self::default()
        }
    }
}

/// One replica of a plain service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "service")]
pub struct ServiceArgs {
    /// port on loopback; 0 for any
    #[argh(option)]
    port: u16,
    /// name as a target
    #[argh(option)]
    name: String,
    /// address of the platform to put its pod to; default: none
    #[argh(option)]
    platform: Option<SocketAddr>,
    /// which service it is a replica of
    #[argh(option)]
    service: String,
    /// calls taken at once; more are answered 429; default 16
    #[argh(option, default = "16")]
    concurrency: u32,
    /// where it runs; default a
    #[argh(option, default = "String::from(\"a\")")]
    failure_domain: String,
    /// time of one call, in milliseconds; default 5
    #[argh(option, default = "5")]
    latency_ms: u64,
}

impl From<ServiceArgs> for ServiceConfig {
    fn from(args: ServiceArgs) -> Self {
        Self {
            port: args.port,
            name: args.name,
            platform: args.platform,
            service: args.service,
            concurrency: args.concurrency,
            failure_domain: args.failure_domain,
            latency_ms: args.latency_ms,
        }
    }
}

/// The weight store.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "store")]
pub struct StoreArgs {
    /// port on loopback; 0 for any
    #[argh(option)]
    port: u16,
    /// loads a second; more are answered 429; default 3
    #[argh(option, default = "3")]
    loads_per_second: u32,
    /// loads in flight that don't slow each other down; default 8
    #[argh(option, default = "8")]
    in_flight: u32,
    /// time of one load, in milliseconds; default 250
    #[argh(option, default = "250")]
    load_ms: u64,
}

impl From<StoreArgs> for StoreConfig {
    fn from(args: StoreArgs) -> Self {
        Self {
            port: args.port,
            loads_per_second: args.loads_per_second,
            in_flight: args.in_flight,
            load_ms: args.load_ms,
        }
    }
}

/// Runs a scenario: real daemons and stand-ins as separate processes, and a report.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadArgs {
    /// the scenario file
    #[argh(positional)]
    pub scenario: PathBuf,
    /// seed of the arrivals; default: the scenario's
    #[argh(option)]
    pub seed: Option<u64>,
    /// where settings, logs and the report go; default: a folder under the system's temporary one
    #[argh(option)]
    pub out: Option<PathBuf>,
    /// path of the daemon; default: bluebellstaged beside this program
    #[argh(option)]
    pub daemon: Option<PathBuf>,
    /// run only the variants with this name
    #[argh(option)]
    pub variant: Vec<String>,
    /// seconds of arrivals in each variant; default: the scenario's
    #[argh(option)]
    pub seconds: Option<f64>,
}

/// Shows the system at work: fakes and three instances in this process, each step printed.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
#[expect(
    clippy::empty_structs_with_brackets,
    reason = "the parser takes no unit structs"
)]
pub struct DemoArgs {}

/// Runs one instance as the daemon does, so that tests of processes need no other program.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "instance")]
pub struct InstanceArgs {
    /// the settings file
    #[argh(option)]
    pub settings: PathBuf,
}

/// Measures one instance and a small fleet, beside their baselines.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct BenchArgs {
    /// measure only this: latency, throughput, memory, control, changes or takeover
    #[argh(option)]
    pub only: Vec<String>,
    /// where settings, logs and the figures go; default: a folder under the system's temporary one
    #[argh(option)]
    pub out: Option<PathBuf>,
    /// path of the daemon; default: bluebellstaged beside this program
    #[argh(option)]
    pub daemon: Option<PathBuf>,
}
