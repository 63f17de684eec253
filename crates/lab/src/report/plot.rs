//! Plots as SVG.
use plotters::prelude::*;

use super::sheet::Sheet;

const SIZE: (u32, u32) = (960, 320);

/// Service over time, an arm a line, with the faults of the first as bands.
pub fn service(sheets: &[&Sheet]) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        draw(&area, sheets).map_err(|e| e.to_string())?;
        area.present().map_err(|e| e.to_string())?;
    }
    Ok(svg)
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw(area: &Area<'_>, sheets: &[&Sheet]) -> Result<(), Box<dyn std::error::Error>> {
    area.fill(&WHITE)?;
    let span = sheets.iter().map(|s| s.span_s).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .x_label_area_size(28)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..span, 0.0..1.0)?;
    chart.configure_mesh().x_desc("seconds").y_desc("service").light_line_style(WHITE).draw()?;
    for fault in sheets.first().iter().flat_map(|s| &s.recoveries) {
        let band = [(fault.from_s, 0.0), (fault.until_s.min(span), 1.0)];
        chart.draw_series([Rectangle::new(band, RGBColor(220, 60, 60).mix(0.12).filled())])?;
    }
    for (nth, sheet) in sheets.iter().enumerate() {
        let colour = Palette99::pick(nth).to_rgba();
        let points = sheet.curve.iter().filter_map(|&(at, service)| Some((at, service?)));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(sheet.arm.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    Ok(())
}
