//! Plots of measurements as SVG.

use eyre::Result;
use eyre::eyre;
use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::element::Rectangle;
use plotters::element::Text;
use plotters::prelude::SVGBackend;
use plotters::style::BLACK;
use plotters::style::BLUE;
use plotters::style::Color;
use plotters::style::IntoFont;
use plotters::style::RED;
use plotters::style::RGBColor;
use plotters::style::WHITE;

use crate::measure::Report;
use crate::measure::Row;

/// Width of a plot in pixels.
const WIDTH: u32 = 900;

/// Height of one figure in pixels.
const ROW_HEIGHT: u32 = 130;

/// Colour of baselines.
const GREY: RGBColor = RGBColor(150, 150, 150);

/// Saves a report as an SVG file with one bar chart for each figure.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn save(report: &Report, path: &str) -> Result<()> {
    let rows = u32::try_from(report.rows.len().max(1))?;
    let area = SVGBackend::new(path, (WIDTH, ROW_HEIGHT * rows)).into_drawing_area();
    area.fill(&WHITE)
        .map_err(|error| eyre!("{path}: {error}"))?;
    let parts = area.split_evenly((report.rows.len().max(1), 1));
    for (row, part) in report.rows.iter().zip(&parts) {
        draw(row, part).map_err(|error| eyre!("{path}: {error}"))?;
    }
    area.present().map_err(|error| eyre!("{path}: {error}"))
}

type Area<'a> = plotters::drawing::DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// Draws one figure: a bar each for wigeonhinge, the baselines and the bound.
fn draw(row: &Row, area: &Area<'_>) -> Result<()> {
    let bars = bars(row);
    let most = bars
        .iter()
        .map(|(_, value, _)| *value)
        .fold(f64::MIN_POSITIVE, f64::max);
    let count = i32::try_from(bars.len())?;
    let title = format!("{} [{}]", row.metric, row.unit);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 14).into_font())
        .margin(6)
        .build_cartesian_2d(0.0..most * 1.4, 0..count)
        .map_err(|error| eyre!("{error}"))?;
    let shapes = bars.iter().zip(0..).map(|((_, value, colour), index)| {
        Rectangle::new([(0.0, index), (*value, index + 1)], colour.filled())
    });
    chart
        .draw_series(shapes)
        .map_err(|error| eyre!("{error}"))?;
    let labels = bars.iter().zip(0..).map(|((name, value, _), index)| {
        let text = format!("{name} {value:.3}");
        Text::new(
            text,
            (*value + most * 0.01, index + 1),
            ("sans-serif", 12).into_font(),
        )
    });
    chart
        .draw_series(labels)
        .map_err(|error| eyre!("{error}"))?;
    Ok(())
}

fn bars(row: &Row) -> Vec<(&str, f64, RGBColor)> {
    let mut bars = vec![("wigeonhinge", row.value, BLUE)];
    bars.extend(
        row.baselines
            .iter()
            .map(|(name, value)| (*name, *value, GREY)),
    );
    bars.extend(row.bound.map(|bound| ("bound", bound, BLACK)));
    bars.extend(row.target.map(|target| ("target", target, RED)));
    bars
}
