//! `losses`: where the time of late, refused and failed requests went.
//!
//! A log may be cut in mid-line, hold lines of other programs, or have times that jump: such lines are
//! counted and passed over.

mod cause;
mod outcomes;

use crate::args::LossesArgs;
use crate::error::{CliError, Exit};
use crate::output::print_line;

use super::log_lines::{Line, read};
use outcomes::{Losses, Outcomes};

/// Prints where requests' time went.
pub(super) fn run(args: &LossesArgs) -> Result<Exit, CliError> {
    let mut outcomes = Outcomes::default();
    for (source, text) in read(&args.logs)? {
        for line in text.lines() {
            match Line::parse(&source, line) {
                Some(line) if line.field("code").starts_with("BS") => outcomes.add(&line, args.by),
                _ => outcomes.unread += 1,
            }
        }
    }
    let losses = Losses::from(outcomes);
    if args.json {
        print_line(&serde_json::json!(losses).to_string())?;
    } else {
        losses.print()?;
    }
    Ok(Exit::Done)
}
