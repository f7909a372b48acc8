//! What is wrong with a settings file.

use std::fmt;

/// One thing that is wrong, and what to do about it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Line of the file, from 1; none where something is missing.
    pub line: Option<u64>,
    /// Which key, such as `timing.heartbeat_ms`; empty where the text has no structure at all.
    pub key: Box<str>,
    /// What is wrong.
    pub cause: Box<str>,
    /// What to do.
    pub remedy: Box<str>,
}

/// All that is wrong with a settings file.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub struct SettingsError {
    /// Name of the file.
    pub file: Box<str>,
    /// What is wrong, in order of the checks.
    pub problems: Vec<Problem>,
}

impl SettingsError {
    pub(super) fn new(file: &str, problems: Vec<Problem>) -> Self {
        Self {
            file: file.into(),
            problems,
        }
    }

    pub(super) fn unreadable(file: &str, cause: &std::io::Error) -> Self {
        let problem = Problem {
            line: None,
            key: "".into(),
            cause: format!("can't be read: {cause}").into(),
            remedy: "name an existing, readable file after `--settings`".into(),
        };
        Self::new(file, vec![problem])
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{}:", self.file)?;
            if let Some(line) = problem.line {
                write!(f, "{line}:")?;
            }
            if !problem.key.is_empty() {
                write!(f, " {}:", problem.key)?;
            }
            write!(f, " {}; {}", problem.cause, problem.remedy)?;
        }
        Ok(())
    }
}
