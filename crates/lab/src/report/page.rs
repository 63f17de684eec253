//! One page of some runs: tables in Markdown, plots as SVG beside it.
use std::collections::BTreeMap;
use std::fmt::Write;

use super::plot;
use super::sheet::{Sheet, State};
use super::table::slowest;

/// The page, and the plots by file name.
pub struct Page {
    pub text: String,
    pub plots: Vec<(String, String)>,
}

pub fn page(sheets: &[Sheet]) -> Result<Page, String> {
    let mut by_experiment: BTreeMap<&str, Vec<&Sheet>> = BTreeMap::new();
    for sheet in sheets {
        by_experiment.entry(&sheet.experiment).or_default().push(sheet);
    }
    let mut page = Page {
        text: "# Runs of the lab\n\nOf the lab's own stand-ins, on loopback.\n".into(),
        plots: Vec::new(),
    };
    for (name, sheets) in by_experiment {
        experiment(&mut page, name, &sheets)?;
    }
    Ok(page)
}

fn median(mut all: Vec<f64>) -> (f64, f64, f64) {
    all.sort_by(f64::total_cmp);
    (all[all.len() / 2], all[0], all[all.len() - 1])
}

fn experiment(page: &mut Page, name: &str, sheets: &[&Sheet]) -> Result<(), String> {
    let text = &mut page.text;
    let _ = writeln!(text, "\n## {name}: {}\n", sheets[0].title);
    let mut arms: Vec<&str> = Vec::new();
    for s in sheets {
        if !arms.contains(&s.arm.as_str()) {
            arms.push(&s.arm);
        }
    }
    let _ = writeln!(
        text,
        "| arm | runs | service (least to most) | worst 10 s | declined | reversed | p99 ms | postings a txn | \
         slowest recovery | rules broken |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    for arm in &arms {
        let own: Vec<&&Sheet> = sheets.iter().filter(|s| s.arm == *arm).collect();
        let of = |f: &dyn Fn(&Sheet) -> f64| median(own.iter().map(|s| f(s)).collect());
        let (service, low, high) = of(&|s| s.service);
        let recoveries: Vec<String> = own.iter().map(|s| slowest(s)).collect();
        let broken: usize = own.iter().flat_map(|s| &s.breaches).map(|b| b.times).sum();
        let void = own.iter().filter(|s| s.void.is_some()).count();
        let _ = writeln!(
            text,
            "| {arm} | {}{} | {service:.3} ({low:.3} to {high:.3}) | {:.3} | {:.0} | {:.0} | {:.0} | {:.3} | {} | {broken} |",
            own.len(),
            if void > 0 { format!(", {void} void") } else { String::new() },
            of(&|s| s.worst_10s).0,
            of(&|s| s.declined as f64).0,
            of(&|s| s.reversed as f64).0,
            of(&|s| s.latencies.iter().map(|l| l.at[2]).fold(0.0, f64::max)).0,
            of(&|s| s.postings_each()).0,
            recoveries.join(", "),
        );
    }
    let first_seed: Vec<&Sheet> = sheets.iter().filter(|s| s.seed == sheets[0].seed).copied().collect();
    let file = format!("{name}.svg");
    let _ = writeln!(text, "\n![service over time, faults as bands]({file})\n");
    page.plots.push((file, plot::service(&first_seed)?));
    one(&mut page.text, sheets[0]);
    Ok(())
}

/// The first run of the first arm in more detail.
fn one(text: &mut String, s: &Sheet) {
    let _ = writeln!(text, "{}, seed {}, {} orders, digest {:08x}:\n", s.arm, s.seed, s.orders, s.digest);
    let _ = writeln!(
        text,
        "| scheme | SLA ms | served | 50% | 90% | 99% | 99.9% | 99.99% | most |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    for l in &s.latencies {
        let at: Vec<String> = l.at.iter().map(|ms| format!("{ms:.1}")).collect();
        let _ = writeln!(text, "| {} | {:.0} | {} | {} |", l.scheme, l.sla_ms, l.served, at.join(" | "));
    }
    if !s.recoveries.is_empty() {
        let _ = writeln!(text, "\n| fault | from s | to s | service back |\n| --- | --- | --- | --- |");
    }
    for r in &s.recoveries {
        let state = match r.state {
            State::After(at) => format!("after {at:.1} s"),
            State::Stuck(held) => format!("**not in {held:.1} s**"),
            State::Unknown => "unknown".into(),
        };
        let _ = writeln!(text, "| {} | {:.1} | {:.1} | {state} |", r.fault, r.from_s, r.until_s);
    }
    let foot: Vec<String> = s
        .footprints
        .iter()
        .map(|(_, kb, fds)| format!("{:.1} MB, {fds} descriptors", *kb as f64 / 1024.0))
        .collect();
    let _ = writeln!(text, "\nLargest agent by quarters: {}.", foot.join("; "));
    let (most, least) = (s.by_backend.iter().max(), s.by_backend.iter().min());
    let _ = writeln!(
        text,
        "Postings by backend: {} to {}. The lab was late by {:.1} ms (median), {:.1} ms (99%).",
        least.unwrap_or(&0),
        most.unwrap_or(&0),
        s.late_ms[0],
        s.late_ms[1]
    );
}
