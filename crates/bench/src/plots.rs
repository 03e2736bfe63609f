//! Plots of the 99th percentile of the response time against the ideal.

use std::path::{Path, PathBuf};

use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, IntoLogRange, RGBColor, Rectangle, SVGBackend, WHITE,
};
use thiserror::Error;

use crate::policy_report::ScenarioFigures;
use crate::recorder::ClassFigures;

const SIZE: (u32, u32) = (900, 420);
const COLOURS: [RGBColor; 2] = [RGBColor(31, 119, 180), RGBColor(214, 130, 60)];
/// Bars of a class: one per version, and a gap.
const BARS: usize = 3;
const RATIO_RANGE: (f64, f64) = (0.8, 1000.0);

/// Why a plot could not be written.
#[derive(Debug, Error)]
#[error("cannot write the plot {path}: {cause}")]
pub struct PlotError {
    /// What the plotting library reported.
    pub cause: String,
    /// The file.
    pub path: PathBuf,
}

/// Writes one plot per scenario into a folder; returns the file names.
///
/// # Errors
///
/// Fails when a file cannot be written.
pub fn write_all(folder: &Path, results: &[ScenarioFigures]) -> Result<Vec<String>, PlotError> {
    let mut names = Vec::new();
    for result in results {
        let name = file_name(&result.name);
        let path = folder.join(&name);
        draw(&path, result).map_err(|cause| PlotError { cause, path })?;
        names.push(name);
    }
    Ok(names)
}

fn file_name(scenario: &str) -> String {
    let words = scenario.split(|c: char| !c.is_ascii_alphanumeric()).filter(|word| !word.is_empty());
    words.map(str::to_lowercase).collect::<Vec<_>>().join("-") + ".svg"
}

fn draw(path: &Path, result: &ScenarioFigures) -> Result<(), String> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|error| error.to_string())?;
    let classes = &result.versions[0].classes;
    let width = (classes.len() * BARS) as f64;
    let title =
        format!("{}: response / ideal, 99th percentile (blue celeryhinge, orange naive)", result.name);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..width, (RATIO_RANGE.0..RATIO_RANGE.1).log_scale())
        .map_err(|error| error.to_string())?;
    let label = |x: &f64| class_label(classes, *x);
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(classes.len() * BARS)
        .x_label_formatter(&label)
        .axis_style(BLACK)
        .draw()
        .map_err(|error| error.to_string())?;
    for (number, version) in result.versions.iter().enumerate() {
        let bars = version.classes.iter().enumerate().map(|(index, class)| {
            let left = (index * BARS + number) as f64 + 0.5;
            let top = class.ratio[1].clamp(RATIO_RANGE.0, RATIO_RANGE.1);
            Rectangle::new([(left, RATIO_RANGE.0), (left + 0.9, top)], COLOURS[number].filled())
        });
        chart.draw_series(bars).map_err(|error| error.to_string())?;
    }
    root.present().map_err(|error| error.to_string())
}

/// The class name at the middle of its bars, nothing elsewhere.
fn class_label(classes: &[ClassFigures], x: f64) -> String {
    let position = x.round() as usize;
    let is_middle = (x - x.round()).abs() < 0.01 && position % BARS == 1;
    classes.get(position / BARS).filter(|_| is_middle).map(|one| one.class.to_string()).unwrap_or_default()
}
