//! The end of a run on a terminal.
use std::fmt::Write;

use super::sheet::{Sheet, State};

fn state(state: State) -> String {
    match state {
        State::After(s) => format!("recovered after {s:.1} s"),
        State::Stuck(s) => format!("NOT recovered in {s:.1} s of held load"),
        State::Unknown => "recovery unknown: too little of the run was left".into(),
    }
}

/// One arm, whole.
pub fn whole(sheet: &Sheet) -> String {
    let mut text = String::new();
    let s = sheet;
    let _ = writeln!(text, "{} ({}), seed {}, digest {:08x}", s.title, s.arm, s.seed, s.digest);
    let _ = writeln!(
        text,
        "  service {:.3}   worst 10 s {:.3}   worst scheme {:.3}   worst tenant {:.3}",
        s.service, s.worst_10s, s.worst_scheme, s.worst_tenant
    );
    let _ = writeln!(
        text,
        "  orders {}: settled {}, declined {}, reversed {}, unanswered {}; {:.3} postings a txn, {} connections",
        s.orders,
        s.settled,
        s.declined,
        s.reversed,
        s.unanswered,
        s.postings_each(),
        s.links
    );
    let _ = writeln!(
        text,
        "  txns {}: settled {}, declined {}, reversed {}, left {}, with a killed agent {}, held back {}",
        s.books.txns,
        s.books.settled,
        s.books.declined,
        s.books.reversed,
        s.books.left,
        s.books.orphaned,
        s.books.held_back
    );
    let _ = writeln!(
        text,
        "  {:<18}{:>8}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}  ms from due",
        "scheme", "served", "50%", "90%", "99%", "99.9%", "99.99%", "most"
    );
    for l in &s.latencies {
        let at: String = l.at.iter().map(|ms| format!("{ms:>9.1}")).collect();
        let _ = writeln!(text, "  {:<18}{:>8}{at}  SLA {:.0}", l.scheme, l.served, l.sla_ms);
    }
    for r in &s.recoveries {
        let _ =
            writeln!(text, "  {:>5.1} to {:>5.1} s  {:<34} {}", r.from_s, r.until_s, r.fault, state(r.state));
    }
    if let Some((_, kb, fds)) = s.footprints.iter().max_by_key(|f| f.1) {
        let mb = *kb as f64 / 1024.0;
        let us = s.cpu_s * 1e6 / s.books.txns.max(1) as f64;
        let _ = writeln!(
            text,
            "  largest agent: {mb:.1} MB, {fds} descriptors; {us:.0} us of CPU a txn, all agents"
        );
    }
    let _ = writeln!(
        text,
        "  the lab was late by {:.1} ms (median), {:.1} ms (99%), {:.1} ms (most)",
        s.late_ms[0], s.late_ms[1], s.late_ms[2]
    );
    for b in &s.breaches {
        let _ = writeln!(
            text,
            "  RULE BROKEN ({}): {}, {} times, first at {:.2} s",
            b.rule, b.what, b.times, b.first_at_s
        );
        for line in &b.history {
            let _ = writeln!(text, "    {line}");
        }
    }
    for m in &s.missed {
        let _ = writeln!(text, "  MISSED: {m}");
    }
    if let Some(void) = &s.void {
        let _ = writeln!(text, "  VOID: {void}");
    }
    if s.breaches.is_empty() {
        let _ = writeln!(text, "  rules kept");
    }
    text
}

/// Arms beside each other, a line each.
pub fn side_by_side(sheets: &[Sheet]) -> String {
    let mut text = String::new();
    let head = [
        "arm", "seed", "service", "worst10", "declined", "reversed", "p99 ms", "post/txn", "recovery",
        "rules",
    ];
    let row = |cells: [String; 10]| {
        let [arm, rest @ ..] = cells;
        let rest: String = rest.iter().map(|cell| format!("{cell:>10}")).collect();
        format!("{arm:<22}{rest}\n")
    };
    text += &row(head.map(str::to_owned));
    for s in sheets {
        let p99 = s.latencies.iter().map(|l| l.at[2]).fold(0.0, f64::max);
        let recovery = slowest(s);
        text += &row([
            s.arm.clone(),
            s.seed.to_string(),
            format!("{:.3}", s.service),
            format!("{:.3}", s.worst_10s),
            s.declined.to_string(),
            s.reversed.to_string(),
            format!("{p99:.0}"),
            format!("{:.3}", s.postings_each()),
            recovery,
            match (&s.void, s.breaches.len()) {
                (Some(_), _) => "void".into(),
                (None, 0) => "kept".into(),
                (None, _) => format!("{} broken", s.breaches.iter().map(|b| b.times).sum::<usize>()),
            },
        ]);
    }
    text
}

/// The slowest recovery of a run.
pub fn slowest(sheet: &Sheet) -> String {
    let mut worst = "-".to_owned();
    let mut most = -1.0;
    for r in &sheet.recoveries {
        match r.state {
            State::Stuck(s) => return format!(">{s:.0} s"),
            State::After(s) if s > most => (most, worst) = (s, format!("{s:.1} s")),
            _ => {}
        }
    }
    worst
}
