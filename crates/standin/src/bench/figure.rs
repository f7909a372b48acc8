//! A measured figure.

use std::fmt;

use serde::Serialize;

/// A measured figure, beside its baseline.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// What was measured.
    pub name: String,
    /// Unit of the numbers.
    pub unit: &'static str,
    /// What was measured.
    pub measured: f64,
    /// The same without an instance, or before; none where nothing compares.
    pub baseline: Option<f64>,
    /// The goal; empty where there is none.
    pub goal: &'static str,
}

impl Figure {
    pub(super) fn new(name: &str, unit: &'static str, measured: f64) -> Self {
        Self {
            name: name.into(),
            unit,
            measured,
            baseline: None,
            goal: "",
        }
    }

    pub(super) const fn beside(mut self, baseline: f64) -> Self {
        self.baseline = Some(baseline);
        self
    }

    pub(super) const fn goal(mut self, goal: &'static str) -> Self {
        self.goal = goal;
        self
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {:.3} {}", self.name, self.measured, self.unit)?;
        if let Some(baseline) = self.baseline {
            write!(f, " (baseline {baseline:.3})")?;
        }
        if !self.goal.is_empty() {
            write!(f, ", goal {}", self.goal)?;
        }
        Ok(())
    }
}
