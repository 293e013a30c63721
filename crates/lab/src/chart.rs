//! Charts, as SVG.

use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

/// A line by name: points of x and y.
pub type Line = (String, Vec<(f64, f64)>);

/// Draws lines over a linear x and a logarithmic y.
pub fn lines(path: &Path, title: &str, [x, y]: [&str; 2], lines: &[Line]) -> Result<(), Box<dyn Error>> {
    let points = || lines.iter().flat_map(|(_, p)| p.iter());
    let most_x = points().map(|p| p.0).fold(1.0, f64::max);
    let (low, high) = points().fold((f64::MAX, f64::MIN_POSITIVE), |(l, h), p| (l.min(p.1), h.max(p.1)));
    let low = low.max(0.01).min(high);
    let root = SVGBackend::new(path, (900, 520)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(16)
        .x_label_area_size(44)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..most_x, (low * 0.8..high * 1.25).log_scale())?;
    chart.configure_mesh().x_desc(x).y_desc(y).light_line_style(WHITE).draw()?;
    for (i, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let points = points.iter().map(|p| (p.0, p.1.max(low)));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(3)));
    }
    let legend = SeriesLabelPosition::UpperLeft;
    chart.configure_series_labels().position(legend).background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
