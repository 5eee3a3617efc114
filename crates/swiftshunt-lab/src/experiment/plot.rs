//! Plots the distribution of the time to first token under each policy as SVG.

use std::path::Path;

use derive_more::{Display, Error};
use plotters::prelude::*;

use super::report::ExperimentReport;

/// Why the plot could not be drawn.
#[derive(Debug, Display, Error)]
#[display("cannot draw the plot: {reason}")]
pub struct PlotError {
    /// The error of the plotting library.
    pub reason: String,
}

const PLOT_SIZE: (u32, u32) = (900, 520);
const COLOURS: [RGBColor; 4] = [
    RGBColor(60, 60, 60),
    RGBColor(200, 60, 40),
    RGBColor(220, 150, 30),
    RGBColor(30, 110, 190),
];

/// Draws the results of a report into an SVG file, with the time on a logarithmic scale.
pub(super) fn plot(report: &ExperimentReport, file: &Path) -> Result<(), PlotError> {
    draw(report, file).map_err(|error| PlotError {
        reason: error.to_string(),
    })
}

fn draw(report: &ExperimentReport, file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let highest = report
        .results
        .iter()
        .flat_map(|result| result.first_token_curve.iter().map(|(_, value)| *value))
        .fold(1.0, f64::max);
    let area = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..1.0, (0.5..highest * 1.2).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("quantile of online requests")
        .y_desc("first token, ms")
        .draw()?;
    for (result, colour) in report.results.iter().zip(COLOURS) {
        let points = result.first_token_curve.iter().copied();
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(result.policy.to_string())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
