//! `request show` and `request in-doubt`.

use serde_json::Value;

use crate::admin::Admin;
use crate::args::{InDoubtArgs, RequestCommand, RequestShowArgs};
use crate::error::{CliError, Exit};
use crate::output::{Output, pretty};
use crate::view::InDoubtList;

pub(super) async fn run(admin: &Admin, command: &RequestCommand) -> Result<Exit, CliError> {
    match command {
        RequestCommand::Show(args) => show(admin, args).await,
        RequestCommand::InDoubt(args) => in_doubt(admin, args).await,
    }
}

async fn show(admin: &Admin, args: &RequestShowArgs) -> Result<Exit, CliError> {
    let path = format!("/admin/v1/requests/{}", args.id);
    let request: Value = admin.read(&path).await?;
    Output::new(args.json).print(&request, || pretty(&request))?;
    Ok(Exit::Done)
}

async fn in_doubt(admin: &Admin, args: &InDoubtArgs) -> Result<Exit, CliError> {
    let calls: InDoubtList = admin.read("/admin/v1/in-doubt").await?;
    Output::new(args.json).print(&calls, || {
        if calls.is_empty() {
            return "none that this instance knows of".into();
        }
        let lines = calls.iter().map(|call| {
            format!(
                "{}  workspace {}  service {}  key {}  sent by {}\n",
                call.intent.request,
                call.intent.workspace,
                call.intent.service,
                call.intent.key,
                call.sender
            )
        });
        let lines: String = lines.collect();
        format!("{lines}each may have run: ask its service before it is filed again")
    })?;
    Ok(Exit::Done)
}
