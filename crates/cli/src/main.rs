//! `bluebellstage`: the operators' tool.

mod admin;
mod args;
mod commands;
mod error;
mod output;
mod view;

use std::process::ExitCode;

use crate::args::Args;
use crate::error::{CliError, Exit};

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(&args) {
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

fn run(args: &Args) -> eyre::Result<Exit> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let exit = runtime.block_on(commands::run(args))?;
    Ok(exit)
}
