//! What backends say of their load, into [`LoadReport`].
use notchspool::units::LoadReport;

/// Sets one figure by its name in the settings or on sockets. Figures of other names, and negative ones, change nothing.
pub fn set_figure(report: &mut LoadReport, name: &str, value: f64) {
    match name {
        _ if value < 0.0 => {}
        "busy" | "util" => report.utilisation = Some(value),
        "rif" | "inflight" => report.in_flight = Some(value),
        "q" | "queue" => report.queue = Some(value),
        "rate" | "qps" => report.rate = Some(value),
        _ => {}
    }
}

/// Reads a report as it stands on sockets: `TEXT util=0.61, inflight=7`. What is no finite number is left out; a report with nothing left is none,
/// and the one before it stays.
pub fn parse_line(line: &str) -> Option<LoadReport> {
    let figures = line.trim().strip_prefix("TEXT")?;
    let mut report = LoadReport::default();
    for figure in figures.split(',') {
        if let Some((name, value)) = figure.split_once('=')
            && let Some(value) = value.trim().parse().ok().filter(|v: &f64| v.is_finite())
        {
            set_figure(&mut report, name.trim(), value);
        }
    }
    let figures = [report.utilisation, report.in_flight, report.queue, report.rate];
    figures.iter().any(Option::is_some).then_some(report)
}
