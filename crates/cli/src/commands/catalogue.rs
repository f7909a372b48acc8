//! `catalogue get`, `diff` and `apply`.

use std::path::Path;

use bluebellstage_core::Revision;
use bluebellstage_core::catalogue::{Change, Document};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::admin::Admin;
use crate::args::{CatalogueApplyArgs, CatalogueCommand, CatalogueDiffArgs, CatalogueGetArgs};
use crate::error::{CliError, Exit};
use crate::output::{Output, change_lines};
use crate::view::Catalogue;

use super::change;

/// A catalogue file.
#[derive(Debug, Deserialize, Serialize)]
struct CatalogueFile {
    /// The revision that the file was made from; `apply` refuses any other.
    revision: Option<Revision>,
    #[serde(flatten)]
    document: Document,
}

pub(super) async fn run(admin: &Admin, command: &CatalogueCommand) -> Result<Exit, CliError> {
    match command {
        CatalogueCommand::Get(args) => get(admin, args).await,
        CatalogueCommand::Diff(args) => diff(admin, args).await,
        CatalogueCommand::Apply(args) => apply(admin, args).await,
    }
}

async fn get(admin: &Admin, args: &CatalogueGetArgs) -> Result<Exit, CliError> {
    let Catalogue {
        revision, document, ..
    } = admin.catalogue().await?;
    let file = CatalogueFile {
        revision: Some(revision),
        document,
    };
    Output::new(args.json).print(&file, || {
        serde_saphyr::to_string(&file).unwrap_or_else(|error| format!("# can't be shown: {error}"))
    })?;
    Ok(Exit::Done)
}

async fn diff(admin: &Admin, args: &CatalogueDiffArgs) -> Result<Exit, CliError> {
    let (revision, changes) = compare(admin, &args.file).await?;
    let shown = json!({ "revision": revision, "changes": changes });
    Output::new(args.json).print(&shown, || summary(revision, &changes))?;
    Ok(if changes.is_empty() {
        Exit::Done
    } else {
        Exit::Changes
    })
}

async fn apply(admin: &Admin, args: &CatalogueApplyArgs) -> Result<Exit, CliError> {
    let output = Output::new(args.json);
    let (revision, changes) = compare(admin, &args.file).await?;
    output.progress(summary(revision, &changes).trim_end())?;
    if changes.is_empty() {
        output.print(&json!({ "revision": revision, "changes": [] }), String::new)?;
        return Ok(Exit::Done);
    }
    let id = args.change_id.clone().unwrap_or_else(change::drawn_id);
    let accepted = change::send(admin, id, Some(revision), changes.clone(), output).await?;
    let shown = json!({
        "revision": accepted.revision,
        "changes": changes,
        "in_force_at": accepted.in_force_at,
    });
    output.print(&shown, || {
        format!("revision {} is in force everywhere", accepted.revision)
    })?;
    Ok(Exit::Done)
}

/// The changes that turn the catalogue in force into the file's, and against which revision.
async fn compare(admin: &Admin, path: &Path) -> Result<(Revision, Vec<Change>), CliError> {
    let file = read(path)?;
    let in_force = admin.catalogue().await?;
    if let Some(expected) = file.revision
        && expected != in_force.revision
    {
        return Err(CliError::Stale {
            in_force: in_force.revision,
            expected,
        });
    }
    let changes = in_force.document.changes_to(&file.document);
    Ok((in_force.revision, changes))
}

fn read(path: &Path) -> Result<CatalogueFile, CliError> {
    let file: Box<str> = path.display().to_string().into();
    let text = std::fs::read_to_string(path).map_err(|error| CliError::Unreadable {
        file: file.clone(),
        cause: error.to_string().into(),
    })?;
    serde_saphyr::from_str(&text).map_err(|error| CliError::Malformed {
        file,
        cause: error.without_snippet().to_string().into(),
    })
}

fn summary(revision: Revision, changes: &[Change]) -> String {
    if changes.is_empty() {
        return format!("nothing to change: revision {revision} is what the file says");
    }
    let count = changes.len();
    let lines = change_lines(changes);
    format!("{count} to change from revision {revision}:\n{lines}")
}
