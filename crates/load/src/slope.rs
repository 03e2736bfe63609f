//! Cost per unit, fitted to measurements at several sizes.

use std::fmt;

/// Costs measured at several sizes, and the least-squares line through them.
#[derive(Clone, Debug, PartialEq)]
pub struct Slope {
    /// The size and the cost of each measurement.
    pub points: Vec<(f64, f64)>,
}

impl Slope {
    /// Slope of the line: the cost of one more unit. 0 with fewer than two different sizes.
    #[must_use]
    pub fn per_unit(&self) -> f64 {
        let (mean_size, mean_cost) = self.means();
        let covariance: f64 =
            self.points.iter().map(|(size, cost)| (size - mean_size) * (cost - mean_cost)).sum();
        let variance: f64 = self.points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        if variance > 0.0 { covariance / variance } else { 0.0 }
    }

    /// Intercept of the line: the fixed cost at size 0.
    #[must_use]
    pub fn intercept(&self) -> f64 {
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
    /// Unit of the cost, for example `bytes`.
    pub cost_unit: &'static str,
    /// Description of what is measured.
    pub name: String,
    /// The measurements, at least two of them with different sizes for a meaningful cost per unit.
    pub slope: Slope,
    /// Name of one counted unit, for example `task`.
    pub size_unit: &'static str,
}

impl Row {
    /// Returns a row for `points`, each of which is a size and its cost.
    #[must_use]
    pub fn new(
        name: &str,
        size_unit: &'static str,
        cost_unit: &'static str,
        points: Vec<(f64, f64)>,
    ) -> Self {
        Self { cost_unit, name: name.to_owned(), slope: Slope { points }, size_unit }
    }

    /// Header of the Markdown table and its separator line.
    #[must_use]
    pub const fn header() -> &'static str {
        "| cost | per | measured (size: cost) | per unit | fixed part |\n|---|---|---|---|---|"
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { cost_unit, name, slope, size_unit } = self;
        write!(f, "| {name} | {size_unit} | ")?;
        for (index, (size, value)) in slope.points.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}{size:.0}: {}", Rounded(*value))?;
        }
        let (per_unit, fixed) = (Rounded(slope.per_unit()), Rounded(slope.intercept()));
        write!(f, " | {per_unit} {cost_unit} | {fixed} {cost_unit} |")
    }
}

/// Formats a number with fewer decimals the larger it is.
struct Rounded(f64);

impl fmt::Display for Rounded {
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
