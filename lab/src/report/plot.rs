//! Plots as SVG: lines with faults behind them, bands of who held what, and points with a band.

use super::ReportError;
use crate::run::Struck;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::ops::Range;

const WIDTH: u32 = 900;
const HEIGHT: u32 = 260;
/// Told apart also in print and by the colour-blind (Okabe and Ito).
const INKS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
];

/// A name, and points.
pub type Line = (String, Vec<(f64, f64)>);

/// A bar in a row, of an ink.
#[derive(Clone, Debug)]
pub struct Bar {
    /// Its row's number.
    pub row: usize,
    /// Its ink's number.
    pub ink: usize,
    /// From where.
    pub from: f64,
    /// To where.
    pub to: f64,
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn failed(e: impl std::fmt::Display) -> ReportError {
    ReportError::Plot(e.to_string())
}

fn drawn(height: u32, draw: impl FnOnce(&Area) -> Result<(), ReportError>) -> Result<String, ReportError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        draw(&area)?;
        area.present().map_err(failed)?;
    }
    Ok(svg)
}

/// Faults from top to bottom, behind whatever is drawn.
fn shades(faults: &[Struck], end: f64, top: f64) -> impl Iterator<Item = Rectangle<(f64, f64)>> {
    faults.iter().map(move |fault| {
        let corners = [(fault.from, 0.0), (fault.to.unwrap_or(end).min(end), top)];
        Rectangle::new(corners, BLACK.mix(0.1).filled())
    })
}

/// Lines over the seconds of a run.
pub fn lines(end: f64, faults: &[Struck], unit: &str, lines: &[Line]) -> Result<String, ReportError> {
    let top = lines.iter().flat_map(|(_, points)| points).map(|(_, y)| *y).fold(0.0, f64::max);
    let top = if top > 0.0 { top * 1.08 } else { 1.0 };
    let svg = drawn(HEIGHT, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(6)
            .margin_right(24)
            .x_label_area_size(34)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..end, 0.0..top)
            .map_err(failed)?;
        chart.draw_series(shades(faults, end, top)).map_err(failed)?;
        let mesh = &mut chart.configure_mesh();
        let mesh = mesh.x_desc("seconds").y_desc(unit).light_line_style(TRANSPARENT);
        mesh.label_style(("sans-serif", 13)).draw().map_err(failed)?;
        for ((_, points), ink) in lines.iter().zip(INKS.iter().cycle()) {
            let line = LineSeries::new(points.iter().copied(), ink.stroke_width(2));
            chart.draw_series(line).map_err(failed)?;
        }
        Ok(())
    })?;
    Ok(legend(lines.iter().map(|(name, _)| name.as_str())) + &svg)
}

/// Bars in rows over the seconds of a run; `inks` names who each ink is.
pub fn bars(
    end: f64,
    faults: &[Struck],
    rows: &[String],
    inks: &[String],
    bars: &[Bar],
) -> Result<String, ReportError> {
    let top = rows.len() as f64;
    let svg = drawn(60 + 34 * rows.len() as u32, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(6)
            .margin_right(24)
            .x_label_area_size(34)
            .y_label_area_size(120)
            .build_cartesian_2d(0.0..end, 0.0..top)
            .map_err(failed)?;
        chart.draw_series(shades(faults, end, top)).map_err(failed)?;
        // Rows are named in the middle of each.
        let name = |at: &f64| rows.get(*at as usize).filter(|_| (at.fract() - 0.5).abs() < 0.01).cloned();
        let mesh = &mut chart.configure_mesh();
        let mesh = mesh.x_desc("seconds").disable_y_mesh().light_line_style(TRANSPARENT);
        let named = |at: &f64| name(at).unwrap_or_default();
        mesh.y_labels(2 * rows.len() + 1).y_label_formatter(&named);
        mesh.label_style(("sans-serif", 13)).draw().map_err(failed)?;
        // Few have a lane each, so that none hides another.
        let lanes = inks.len().clamp(1, 4);
        let drawn = bars.iter().map(|bar| {
            let ink = INKS[bar.ink % INKS.len()];
            let (low, height) = (0.2 + 0.6 * (bar.ink % lanes) as f64 / lanes as f64, 0.6 / lanes as f64);
            let low = bar.row as f64 + low;
            Rectangle::new([(bar.from, low), (bar.to, low + height)], ink.filled())
        });
        chart.draw_series(drawn).map_err(failed)?;
        Ok(())
    })?;
    Ok(legend(inks.iter().map(String::as_str)) + &svg)
}

/// Points, one column each, with a line at `level` and a band around it where there is one.
pub fn points(
    columns: &[String],
    across: &str,
    unit: &str,
    points: &[(f64, f64)],
    level: f64,
    band: Option<[f64; 2]>,
) -> Result<String, ReportError> {
    let values = || points.iter().map(|(_, y)| *y).chain([level]).chain(band.into_iter().flatten());
    let (low, high) = (values().fold(f64::INFINITY, f64::min), values().fold(f64::NEG_INFINITY, f64::max));
    // Where all are alike, there is room around them all the same.
    let room = ((high - low) * 0.1).max(high.abs() * 0.05).max(0.01);
    let range: Range<f64> = low - room..high + room;
    let width = columns.len() as f64;
    drawn(HEIGHT, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(6)
            .margin_right(24)
            .x_label_area_size(34)
            .y_label_area_size(70)
            .build_cartesian_2d(0.0..width, range)
            .map_err(failed)?;
        if let Some([from, to]) = band {
            let band = Rectangle::new([(0.0, from), (width, to)], INKS[5].mix(0.3).filled());
            chart.draw_series([band]).map_err(failed)?;
        }
        let name =
            |at: &f64| columns.get(*at as usize).filter(|_| (at.fract() - 0.5).abs() < 0.01).cloned();
        let named = |at: &f64| name(at).unwrap_or_default();
        let mesh = &mut chart.configure_mesh();
        let mesh = mesh.x_desc(across).y_desc(unit).disable_x_mesh().light_line_style(TRANSPARENT);
        mesh.x_labels(2 * columns.len() + 1).x_label_formatter(&named);
        let digits = if room < 0.1 { 3 } else { 1 };
        let number = |y: &f64| format!("{y:.digits$}");
        mesh.y_label_formatter(&number);
        mesh.label_style(("sans-serif", 13)).draw().map_err(failed)?;
        let line = LineSeries::new([(0.0, level), (width, level)], BLACK.stroke_width(1));
        chart.draw_series(line).map_err(failed)?;
        let dots = points.iter().map(|at| Circle::new(*at, 4, INKS[0].filled()));
        chart.draw_series(dots).map_err(failed)?;
        Ok(())
    })
}

/// Beside the plot, where it covers nothing.
fn legend<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let entries = names.zip(INKS.iter().cycle()).map(|(name, RGBColor(r, g, b))| {
        format!("<span style=\"border-left:1.6em solid rgb({r},{g},{b})\">{}</span>", super::escape(name))
    });
    format!("<p class=legend>{}</p>", entries.collect::<Vec<_>>().join(" "))
}
