//! Cost per unit from measurements at several sizes.

use std::fmt;

/// Costs measured at several sizes and the line through them.
#[derive(Clone, Debug, PartialEq)]
pub struct Slope {
    /// Size and cost of each measurement.
    pub points: Vec<(f64, f64)>,
}

impl Slope {
    /// Cost per unit, by least squares; 0 with fewer than two different sizes.
    #[must_use]
    pub fn per_unit(&self) -> f64 {
        let (mean_size, mean_cost) = self.means();
        let covariance: f64 =
            self.points.iter().map(|(size, cost)| (size - mean_size) * (cost - mean_cost)).sum();
        let variance: f64 = self.points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        if variance > 0.0 { covariance / variance } else { 0.0 }
    }

    /// Cost at size 0 on the same line.
    #[must_use]
    pub fn fixed(&self) -> f64 {
        let (mean_size, mean_cost) = self.means();
        mean_cost - self.per_unit() * mean_size
    }

    fn means(&self) -> (f64, f64) {
        let count = self.points.len().max(1) as f64;
        let (sizes, costs) =
            self.points.iter().fold((0.0, 0.0), |(sizes, costs), (size, cost)| (sizes + size, costs + cost));
        (sizes / count, costs / count)
    }
}

/// One row of the table of slopes.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Unit of the cost.
    pub cost: &'static str,
    /// What is measured.
    pub name: String,
    /// The measurements.
    pub slope: Slope,
    /// What the size counts.
    pub unit: &'static str,
}

impl Row {
    /// A row.
    #[must_use]
    pub fn new(name: &str, unit: &'static str, cost: &'static str, points: Vec<(f64, f64)>) -> Self {
        Self { cost, name: name.to_owned(), slope: Slope { points }, unit }
    }

    /// Head of the table.
    #[must_use]
    pub const fn head() -> &'static str {
        "| cost | per | measured (size: cost) | per unit | fixed part |\n|---|---|---|---|---|"
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { cost, name, slope, unit } = self;
        write!(f, "| {name} | {unit} | ")?;
        for (index, (size, value)) in slope.points.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}{size:.0}: {}", Figure(*value))?;
        }
        let (per_unit, fixed) = (Figure(slope.per_unit()), Figure(slope.fixed()));
        write!(f, " | {per_unit} {cost} | {fixed} {cost} |")
    }
}

/// A number with as many decimals as its size needs.
struct Figure(f64);

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let decimals = match self.0.abs() {
            value if value >= 1000.0 => 0,
            value if value >= 10.0 => 1,
            value if value >= 0.1 => 2,
            _ => 4,
        };
        write!(f, "{:.decimals$}", self.0)
    }
}
