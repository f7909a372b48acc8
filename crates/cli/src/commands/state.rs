//! `status` and `dump`.

use std::fmt::Write;

use bluebellstage_core::InstanceId;
use bluebellstage_core::engines::GroupSummary;
use serde_json::Value;

use crate::admin::Admin;
use crate::args::{DumpArgs, StatusArgs};
use crate::error::{CliError, Exit};
use crate::output::{Output, pretty, print_line};
use crate::view::Status;

pub(super) async fn status(admin: &Admin, args: &StatusArgs) -> Result<Exit, CliError> {
    let raw: Value = admin.read("/admin/v1/status").await?;
    let status: Status = admin.status().await?;
    Output::new(args.json).print(&raw, || text(&status))?;
    Ok(Exit::Done)
}

pub(super) async fn dump(admin: &Admin, args: &DumpArgs) -> Result<Exit, CliError> {
    let dump: Value = admin.read("/admin/v1/dump").await?;
    if args.json {
        print_line(&dump.to_string())?;
    } else {
        print_line(&pretty(&dump))?;
    }
    Ok(Exit::Done)
}

fn text(status: &Status) -> String {
    let mut out = String::new();
    // Writing to a string does not fail.
    let _infallible = write_status(&mut out, status);
    out
}

fn write_status(out: &mut String, status: &Status) -> std::fmt::Result {
    let ready = if status.ready { "ready" } else { "not ready" };
    let standing = if status.standing {
        "has standing"
    } else {
        "has no standing"
    };
    writeln!(out, "instance   {} ({ready}, {standing})", status.me.id)?;
    if status.stopping {
        writeln!(out, "           a planned stop is under way")?;
    }
    let fresh = if status.catalogue.fresh {
        "proved current"
    } else {
        "not proved current"
    };
    writeln!(
        out,
        "catalogue  revision {}, {fresh}",
        status.catalogue.revision
    )?;
    writeln!(out, "requests   {} under way here", status.requests)?;
    writeln!(out, "in doubt   {}", status.in_doubt)?;
    let homes: Vec<_> = status.homes.iter().map(ToString::to_string).collect();
    writeln!(out, "home of    {}", homes.join(", "))?;
    writeln!(out, "map        revision {}", status.map.revision)?;
    for member in &status.map.members {
        let known = status.instances.iter().find(|known| known.id == member.id);
        let revision = known.and_then(|known| known.revision);
        let catalogue = revision.map_or_else(|| "?".into(), |revision| revision.to_string());
        writeln!(
            out,
            "  {}  {:?}  {}  {}  catalogue {catalogue}",
            member.id, member.state, member.failure_domain, member.caller_address
        )?;
    }
    status
        .groups
        .iter()
        .try_for_each(|group| write_group(out, group))
}

fn write_group(out: &mut String, group: &GroupSummary) -> std::fmt::Result {
    let home = group.owner.as_ref().map_or("nobody", InstanceId::as_str);
    let Some(schedule) = &group.schedule else {
        return writeln!(
            out,
            "engines    {}  home {home}: ask there for its queue",
            group.id
        );
    };
    writeln!(
        out,
        "engines    {}  home {home}, {} waiting",
        group.id, schedule.waiting
    )?;
    for engine in &schedule.engines {
        let leaving = if engine.leaving { "  leaving" } else { "" };
        writeln!(
            out,
            "  {}  {} of {} running  {} of {} slots filled, {} loading{leaving}",
            engine.id,
            engine.permits,
            engine.max_batch,
            engine.resident.len(),
            engine.slots,
            engine.loading.len(),
        )?;
    }
    Ok(())
}
