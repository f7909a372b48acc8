//! `key issue`, `withdraw` and `list`.

use bluebellstage_core::KeyDigest;
use bluebellstage_core::catalogue::{Change, KeyEntry};
use serde_json::json;

use crate::admin::Admin;
use crate::args::{KeyCommand, KeyIssueArgs, KeyListArgs, KeyWithdrawArgs};
use crate::error::{CliError, Exit};
use crate::output::Output;

use super::change;

/// Begins every key, so that one that got into a text can be searched for.
const KEY_PREFIX: &str = "bbs_";

pub(super) async fn run(admin: &Admin, command: &KeyCommand) -> Result<Exit, CliError> {
    match command {
        KeyCommand::Issue(args) => issue(admin, args).await,
        KeyCommand::Withdraw(args) => withdraw(admin, args).await,
        KeyCommand::List(args) => list(admin, args).await,
    }
}

async fn issue(admin: &Admin, args: &KeyIssueArgs) -> Result<Exit, CliError> {
    let output = Output::new(args.json);
    let key = drawn_key();
    let entry = KeyEntry {
        id: args.name.clone(),
        workspace: args.workspace.clone(),
        digest: KeyDigest::of(&key),
    };
    let changes = vec![Change::IssueKey(entry)];
    let accepted = change::send(admin, change::drawn_id(), None, changes, output).await;
    // The key works once the change is accepted: it must not get lost because one instance lags.
    if let Err(error) = &accepted
        && !matches!(error, CliError::NotEverywhere { .. })
    {
        return accepted.map(|_accepted| Exit::Done);
    }
    let shown = json!({ "name": args.name, "workspace": args.workspace, "key": key });
    output.print(&shown, || {
        format!("key (shown this once; only its digest is kept):\n{key}")
    })?;
    accepted.map(|_accepted| Exit::Done)
}

async fn withdraw(admin: &Admin, args: &KeyWithdrawArgs) -> Result<Exit, CliError> {
    let output = Output::new(args.json);
    let changes = vec![Change::WithdrawKey(args.name.clone())];
    let accepted = change::send(admin, change::drawn_id(), None, changes, output).await?;
    output.print(&json!({ "name": args.name, "withdrawn": accepted }), || {
        format!("key {} is withdrawn everywhere", args.name)
    })?;
    Ok(Exit::Done)
}

async fn list(admin: &Admin, args: &KeyListArgs) -> Result<Exit, CliError> {
    let keys = admin.catalogue().await?.keys;
    Output::new(args.json).print(&keys, || {
        let lines = keys
            .iter()
            .map(|key| format!("{}  {}\n", key.id, key.workspace));
        format!("NAME  WORKSPACE\n{}", lines.collect::<String>())
    })?;
    Ok(Exit::Done)
}

/// 256 random bits: no one guesses it, and it needs no salt to be kept as a digest.
fn drawn_key() -> String {
    let bytes: [u8; 32] = rand::random();
    let digits = bytes.iter().map(|byte| format!("{byte:02x}"));
    format!("{KEY_PREFIX}{}", digits.collect::<String>())
}
