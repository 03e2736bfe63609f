//! Bar charts of the 99th percentile of the response time divided by the ideal.

use std::path::{Path, PathBuf};

use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, IntoLogRange, RGBColor, Rectangle, SVGBackend, WHITE,
};
use thiserror::Error;

use crate::policy_report::ScenarioFigures;
use crate::recorder::ClassFigures;

/// Width and height in pixels.
const SIZE: (u32, u32) = (900, 420);
/// Colours of the dispatcher and the naive version; the title of the chart names them.
const COLOURS: [RGBColor; 2] = [RGBColor(31, 119, 180), RGBColor(214, 130, 60)];
/// Width of the group of a class in bars: one bar per version and a gap.
const BARS_PER_CLASS: usize = 3;
/// Range of the logarithmic axis; larger and smaller ratios are drawn at its ends.
const RATIO_RANGE: (f64, f64) = (0.8, 1000.0);

/// Error while a plot is drawn or written.
#[derive(Debug, Error)]
#[error("cannot write the plot {path}: {cause}")]
pub struct PlotError {
    /// Error message of the plotting library.
    pub cause: String,
    /// Path of the file that could not be written.
    pub path: PathBuf,
}

/// Writes one SVG file per scenario into an existing folder and returns the file names.
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
    let width = (classes.len() * BARS_PER_CLASS) as f64;
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
        .x_labels(classes.len() * BARS_PER_CLASS)
        .x_label_formatter(&label)
        .axis_style(BLACK)
        .draw()
        .map_err(|error| error.to_string())?;
    for (number, version) in result.versions.iter().enumerate() {
        let bars = version.classes.iter().enumerate().map(|(index, class)| {
            let left = (index * BARS_PER_CLASS + number) as f64 + 0.5;
            let top = class.ratio[1].clamp(RATIO_RANGE.0, RATIO_RANGE.1);
            Rectangle::new([(left, RATIO_RANGE.0), (left + 0.9, top)], COLOURS[number].filled())
        });
        chart.draw_series(bars).map_err(|error| error.to_string())?;
    }
    root.present().map_err(|error| error.to_string())
}

/// Label of the x axis at `x`: the class name in the middle of its bars, otherwise empty.
fn class_label(classes: &[ClassFigures], x: f64) -> String {
    let position = x.round() as usize;
    let is_middle = (x - x.round()).abs() < 0.01 && position % BARS_PER_CLASS == 1;
    classes
        .get(position / BARS_PER_CLASS)
        .filter(|_| is_middle)
        .map(|figures| figures.class.to_string())
        .unwrap_or_default()
}
