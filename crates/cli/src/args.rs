//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use bluebellstage_core::{ChangeId, KeyId, RequestId, WorkspaceId};
use bluebellstage_gateway::decide::quarantine::Suspect;

/// Operate bluebellstage through the administration API of any of its instances.
#[derive(Debug, FromArgs)]
#[argh(
    note = "The token is read from the environment variable BLUEBELLSTAGE_TOKEN, or from the file named by --token-file; it is never an argument, for arguments show in lists of processes.",
    example = "bluebellstage --admin http://10.0.0.5:8082 status",
    error_code(0, "done"),
    error_code(
        1,
        "the command line or a file is wrong, or something unexpected failed"
    ),
    error_code(3, "the instance can't be reached, or refused the token"),
    error_code(
        4,
        "refused: the catalogue moved on, contradicts the change, or lacks what was named"
    ),
    error_code(5, "the outcome is not known, or was not seen everywhere in time"),
    error_code(6, "catalogue diff: there are changes")
)]
pub(crate) struct Args {
    /// base URL of an instance's administration API; default: `BLUEBELLSTAGE_ADMIN`
    #[argh(option)]
    pub(crate) admin: Option<String>,

    /// file that holds the token; default: `BLUEBELLSTAGE_TOKEN`
    #[argh(option)]
    pub(crate) token_file: Option<PathBuf>,

    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    /// The catalogue.
    Catalogue(CatalogueArgs),
    /// Keys.
    Key(KeyArgs),
    /// Status.
    Status(StatusArgs),
    /// Dump.
    Dump(DumpArgs),
    /// Requests.
    Request(RequestArgs),
    /// Planned stop.
    Drain(DrainArgs),
    /// A request's story.
    Explain(ExplainArgs),
    /// Where all requests' time went.
    Losses(LossesArgs),
    /// An instance on the platform.
    Instance(InstanceArgs),
}

/// Read, compare or change the catalogue.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "catalogue")]
pub(crate) struct CatalogueArgs {
    #[argh(subcommand)]
    pub(crate) command: CatalogueCommand,
}

/// What to do with the catalogue.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum CatalogueCommand {
    /// Print it.
    Get(CatalogueGetArgs),
    /// Compare it.
    Diff(CatalogueDiffArgs),
    /// Change it.
    Apply(CatalogueApplyArgs),
}

/// Print the catalogue in force as YAML that `apply` takes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct CatalogueGetArgs {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Show what `apply` would change; exits 6 if there is anything.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct CatalogueDiffArgs {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,

    /// the catalogue file
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// Turn the catalogue in force into the one in the file; refused if the file's `revision` is no
/// longer in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct CatalogueApplyArgs {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,

    /// name of the change; the same name makes a retry harmless; default: drawn
    #[argh(option)]
    pub(crate) change_id: Option<ChangeId>,

    /// the catalogue file
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// Issue or withdraw workspaces' keys.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub(crate) struct KeyArgs {
    #[argh(subcommand)]
    pub(crate) command: KeyCommand,
}

/// What to do with keys.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum KeyCommand {
    /// Issue one.
    Issue(KeyIssueArgs),
    /// Withdraw one.
    Withdraw(KeyWithdrawArgs),
    /// List them.
    List(KeyListArgs),
}

/// Draw a key for a workspace and print it, this once: only its digest is kept.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "issue")]
pub(crate) struct KeyIssueArgs {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,

    /// public name of the key, by which it is withdrawn
    #[argh(option)]
    pub(crate) name: KeyId,

    /// whose key it is
    #[argh(positional)]
    pub(crate) workspace: WorkspaceId,
}

/// Withdraw a key; what it still has waiting or running ends.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub(crate) struct KeyWithdrawArgs {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,

    /// public name of the key
    #[argh(positional)]
    pub(crate) name: KeyId,
}

/// List keys by their public names.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct KeyListArgs {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Show instances, homes, requests and the catalogue's revision, as this instance knows them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusArgs {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Print all state of this instance's process, as JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dump")]
pub(crate) struct DumpArgs {
    /// print the JSON on one line
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Show callers' requests.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "request")]
pub(crate) struct RequestArgs {
    #[argh(subcommand)]
    pub(crate) command: RequestCommand,
}

/// Which requests.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum RequestCommand {
    /// One.
    Show(RequestShowArgs),
    /// Those in doubt.
    InDoubt(InDoubtArgs),
}

/// Show what this instance knows of one request.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct RequestShowArgs {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,

    /// the request's `X-Request-Id`
    #[argh(positional)]
    pub(crate) id: RequestId,
}

/// List calls that may not be repeated and whose outcome is not known.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "in-doubt")]
pub(crate) struct InDoubtArgs {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Begin this instance's planned stop and wait for its end: no answer is cut off.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct DrainArgs {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,

    /// seconds to wait for the end; default 120
    #[argh(option, default = "120")]
    pub(crate) wait_s: u64,
}

/// Show an instance on the users' platform: configuration, targets, peers, quotas.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "instance")]
pub(crate) struct InstanceArgs {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,

    /// let a quarantined request or prompt part through again: its fingerprint, or part- and its id
    #[argh(option)]
    pub(crate) clear: Option<Suspect>,

    /// the instance's control address, as IP:PORT
    #[argh(positional)]
    pub(crate) control: SocketAddr,
}

/// Tell where the time of late, refused and failed requests went, from the logs of instances on the
/// users' platform.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "losses")]
pub(crate) struct LossesArgs {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,

    /// how to group: cause, second, route, workspace, target or instance; default: cause
    #[argh(option, default = "LossesBy::Cause")]
    pub(crate) by: LossesBy,

    /// files with logs; none: standard input
    #[argh(positional)]
    pub(crate) logs: Vec<PathBuf>,
}

/// How losses are grouped, beside their cause.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LossesBy {
    /// By cause alone.
    Cause,
    /// By the second of the log.
    Second,
    /// By route.
    Route,
    /// By workspace.
    Workspace,
    /// By target.
    Target,
    /// By instance, which is the log's source.
    Instance,
}

impl std::str::FromStr for LossesBy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "cause" => Ok(Self::Cause),
            "second" => Ok(Self::Second),
            "route" => Ok(Self::Route),
            "workspace" => Ok(Self::Workspace),
            "target" => Ok(Self::Target),
            "instance" => Ok(Self::Instance),
            _ => Err("name cause, second, route, workspace, target or instance".into()),
        }
    }
}

/// Tell a request's story from the logs of instances on the users' platform.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainArgs {
    /// the request's id, as the caller sent it
    #[argh(positional)]
    pub(crate) request: String,

    /// files with logs; none: standard input
    #[argh(positional)]
    pub(crate) logs: Vec<PathBuf>,
}
