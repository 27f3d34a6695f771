//! A plot of figures by the number of workers, as SVG.

use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (800, 480);

/// One line of a plot: its name, and points by workers.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

/// Draws lines over the number of workers.
pub fn draw(path: &Path, title: &str, unit: &str, lines: &[Line]) -> Result<(), String> {
    let points = || lines.iter().flat_map(|line| &line.points);
    let right = points().map(|(x, _)| *x).fold(1.0, f64::max) * 1.05;
    let top = points().map(|(_, y)| *y).fold(1e-6, f64::max) * 1.1;
    let drawn = || -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(path, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 20))
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart
            .configure_mesh()
            .x_desc("workers")
            .y_desc(unit)
            .draw()?;
        for (number, line) in lines.iter().enumerate() {
            let color = Palette99::pick(number).to_rgba();
            chart
                .draw_series(LineSeries::new(line.points.iter().copied(), &color).point_size(3))?
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .position(SeriesLabelPosition::UpperLeft)
            .draw()?;
        area.present()?;
        Ok(())
    };
    drawn().map_err(|e| format!("{}: {e}", path.display()))
}
