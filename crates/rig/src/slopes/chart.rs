//! SVG charts: measured costs and fitted scaling laws along one axis, on logarithmic scales.

use calicolb_scaling::axes::{Axis, Quantity, Row};
use calicolb_scaling::fit::{Growth, mean_by_size};
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

/// Width and height of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (1_200, 900);
/// Number of line segments of a law's curve.
const CURVE_SEGMENTS: u32 = 32;
/// Quantity and title of each of the four panels.
const PANELS: [(Quantity, &str); 4] = [
    (Quantity::Messages, "messages by the event"),
    (Quantity::Bytes, "bytes by the event"),
    (Quantity::CpuUs, "processor microseconds by the event"),
    (Quantity::State, "bytes of state"),
];

/// Draws the chart of one axis into an SVG file.
///
/// # Errors
///
/// The chart cannot be drawn or written.
pub fn draw_axis(path: &Path, axis: Axis, rows: &[&Row]) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, CHART_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, (quantity, title)) in root.split_evenly((2, 2)).iter().zip(PANELS) {
        let panel_rows: Vec<&Row> = rows.iter().copied().filter(|row| row.quantity == quantity).collect();
        draw_panel(area, axis, title, &panel_rows)?;
    }
    root.present()?;
    Ok(())
}

/// Drawing area of a panel.
type PanelArea<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// Draws the panel of one quantity: a series for each function.
fn draw_panel(area: &PanelArea<'_>, axis: Axis, title: &str, rows: &[&Row]) -> Result<(), Box<dyn Error>> {
    // A logarithmic scale cannot show 0.
    let series: Vec<_> = rows
        .iter()
        .map(|row| {
            (row, mean_by_size(&row.points).into_iter().filter(|at| at.value > 0.0).collect::<Vec<_>>())
        })
        .filter(|(_, points)| !points.is_empty())
        .collect();
    let all = series.iter().flat_map(|(_, points)| points);
    let bounds = |values: &mut dyn Iterator<Item = f64>| {
        let (low, high) =
            values.fold((f64::INFINITY, 0.0_f64), |(low, high), value| (low.min(value), high.max(value)));
        if high > 0.0 { (low / 1.5, high * 1.5) } else { (0.5, 2.0) }
    };
    let x = bounds(&mut all.clone().map(|at| at.size));
    let y = bounds(&mut all.map(|at| at.value));
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(70)
        .build_cartesian_2d((x.0..x.1 * 4.0).log_scale(), (y.0..y.1).log_scale())?;
    chart.configure_mesh().x_desc(axis.name()).light_line_style(WHITE).draw()?;
    for (index, (row, points)) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let mut name = row.function.name().to_owned();
        if let Growth::Law(law, _) = &row.growth {
            // Adding 0.0 turns -0.0 into 0.0, which is printed without a sign.
            name = format!("{name} {:.2}", (law.exponent * 100.0).round() / 100.0 + 0.0);
            let (low, high) = (law.sizes.low, points[points.len() - 1].size);
            let at = |step: u32| low * (high / low).powf(f64::from(step) / f64::from(CURVE_SEGMENTS));
            let line =
                (0..=CURVE_SEGMENTS).map(at).map(|size| (size, law.predict(size).value.clamp(y.0, y.1)));
            chart.draw_series(LineSeries::new(line, color.stroke_width(1)))?;
        }
        let held_out = points.len().saturating_sub(1);
        let dots = points.iter().enumerate().map(|(at, point)| {
            // The point of the size that the fit leaves out is drawn hollow.
            let style = if at == held_out { color.stroke_width(1) } else { color.filled() };
            Circle::new((point.size, point.value), 4, style)
        });
        chart.draw_series(dots)?.label(name).legend(move |(x, y)| Circle::new((x + 8, y), 4, color.filled()));
    }
    if !series.is_empty() {
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperRight)
            .border_style(BLACK.mix(0.2))
            .background_style(WHITE.mix(0.8))
            .draw()?;
    }
    Ok(())
}
