//! The commands.

mod catalogue;
mod change;
mod drain;
mod explain;
mod instance;
mod key;
mod log_lines;
mod losses;
mod request;
mod state;

use crate::admin::Admin;
use crate::args::{Args, Command};
use crate::error::{CliError, Exit};

/// Runs the command that the arguments name.
pub(crate) async fn run(args: &Args) -> Result<Exit, CliError> {
    if let Command::Explain(args) = &args.command {
        return explain::run(args);
    }
    if let Command::Losses(args) = &args.command {
        return losses::run(args);
    }
    if let Command::Instance(args) = &args.command {
        return instance::run(args).await;
    }
    let admin = Admin::from_args(args)?;
    match &args.command {
        Command::Catalogue(args) => catalogue::run(&admin, &args.command).await,
        Command::Key(args) => key::run(&admin, &args.command).await,
        Command::Status(args) => state::status(&admin, args).await,
        Command::Dump(args) => state::dump(&admin, args).await,
        Command::Request(args) => request::run(&admin, &args.command).await,
        Command::Drain(args) => drain::run(&admin, args).await,
        Command::Explain(args) => explain::run(args),
        Command::Losses(args) => losses::run(args),
        Command::Instance(args) => instance::run(args).await,
    }
}
