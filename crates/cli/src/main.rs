//! `bluebellstage`: the operators' tool.
#![warn(clippy::print_stdout)] // It panics when its reader has left: `print_line` does not.

mod admin;
mod args;
mod commands;
mod error;
mod output;
mod view;

use std::process::ExitCode;

use argh::{EarlyExit, FromArgs};

use crate::args::Args;
use crate::error::{CliError, Exit};
use crate::output::print_line;

const PROGRAM: &str = "bluebellstage";

fn main() -> ExitCode {
    let args = std::env::args_os().skip(1);
    let args = args.map(|arg| arg.to_string_lossy().into_owned());
    let args = args.collect::<Vec<_>>();
    let args = args.iter().map(String::as_str).collect::<Vec<_>>();
    let ended = match Args::from_args(&[PROGRAM], &args) {
        Ok(args) => run(&args),
        Err(exit) => end_early(&exit).map_err(Into::into),
    };
    match ended {
        Ok(exit) => exit.into(),
        Err(report) => {
            eprintln!("bluebellstage: {report}");
            let failed = report.downcast_ref::<CliError>();
            if let Some(failed) = failed {
                eprintln!("next: {}", failed.next());
            }
            failed.map_or(Exit::Failed, CliError::exit).into()
        }
    }
}

/// Prints the help that was asked for, or what is wrong with the command line.
fn end_early(exit: &EarlyExit) -> Result<Exit, CliError> {
    if exit.status.is_ok() {
        print_line(&exit.output)?;
        return Ok(Exit::Done);
    }
    eprintln!(
        "{}\nRun {PROGRAM} --help for more information.",
        exit.output
    );
    Ok(Exit::Failed)
}

fn run(args: &Args) -> eyre::Result<Exit> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let exit = runtime.block_on(commands::run(args))?;
    Ok(exit)
}
