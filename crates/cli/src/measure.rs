//! Measurements; each prints wigeonhinge, its baselines and its bound side by side.

use std::fmt;

use serde::Serialize;

pub mod batch;
pub mod buffer;
pub mod capacity;
pub(crate) mod command;
pub mod decisions;
mod fleets;
pub mod floods;
pub mod jobs;
pub mod moves;
pub mod overhead;
mod plot;
pub mod waves;
pub mod world;

pub use crate::measure::plot::save;

/// Result of a measurement.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Name of the measurement.
    pub name: String,
    /// Fleet that was measured: an owner or the two-year size.
    pub fleet: String,
    /// Seed of every random choice.
    pub seed: u64,
    /// Measured figures.
    pub rows: Vec<Row>,
}

/// A measured figure beside its baselines and its bound.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Row {
    /// What was measured.
    pub metric: String,
    /// Unit of every value of the row.
    pub unit: &'static str,
    /// Figure of wigeonhinge.
    pub value: f64,
    /// Figures of the baselines, by name.
    pub baselines: Vec<(&'static str, f64)>,
    /// Bound that no policy can pass, where one is known.
    pub bound: Option<f64>,
    /// Stated target, where there is one.
    pub target: Option<f64>,
}

impl Report {
    /// Creates a report without figures.
    pub fn new(name: &str, fleet: &str, seed: u64) -> Self {
        Self {
            name: name.to_owned(),
            fleet: fleet.to_owned(),
            seed,
            rows: Vec::new(),
        }
    }

    /// Adds a figure.
    pub fn push(&mut self, row: Row) {
        self.rows.push(row);
    }
}

impl Row {
    /// Creates a figure without baselines.
    pub fn new(metric: &str, unit: &'static str, value: f64) -> Self {
        Self {
            metric: metric.to_owned(),
            unit,
            value,
            ..Self::default()
        }
    }

    /// Adds the figure of a baseline.
    pub fn baseline(mut self, name: &'static str, value: f64) -> Self {
        self.baselines.push((name, value));
        self
    }

    /// Sets the bound.
    pub fn bound(mut self, bound: f64) -> Self {
        self.bound = Some(bound);
        self
    }

    /// Sets the stated target.
    pub fn target(mut self, target: f64) -> Self {
        self.target = Some(target);
        self
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} of {}, seed {}", self.name, self.fleet, self.seed)?;
        self.rows.iter().try_for_each(|row| writeln!(f, "  {row}"))
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<44} {:>12.3} {}", self.metric, self.value, self.unit)?;
        for (name, value) in &self.baselines {
            write!(f, "; {name} {value:.3}")?;
        }
        if let Some(bound) = self.bound {
            write!(f, "; bound {bound:.3}")?;
        }
        if let Some(target) = self.target {
            write!(f, "; target {target:.3}")?;
        }
        Ok(())
    }
}
