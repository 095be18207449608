//! Draws plots of figures over time as SVG files.

use std::path::Path;

use hibiscusrail_macros::record;
use plotters::prelude::*;

use super::ExperimentError;

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (960, 540);

/// One line of a plot.
#[record]
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Points, as seconds and value.
    pub points: Vec<(f64, f64)>,
}

/// Draws lines over a time axis in seconds; `unit` labels the other axis.
///
/// # Errors
///
/// Fails when the file can't be written.
pub fn draw(path: &Path, title: &str, unit: &str, lines: &[Line]) -> Result<(), ExperimentError> {
    if let Some(dir) = path.parent() {
        std::fs::create_dir_all(dir)?;
    }
    let points = || lines.iter().flat_map(|l| l.points.iter());
    let right = points().map(|p| p.0).fold(1.0, f64::max);
    let top = points().map(|p| p.1).fold(0.0, f64::max) * 1.05;
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..right, 0.0..top.max(f64::MIN_POSITIVE))?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc(unit)
        .draw()?;
    for (i, line) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let points = line.points.iter().copied();
        chart
            .draw_series(LineSeries::new(points, &color))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
