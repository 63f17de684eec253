//! The operator's file of an agent with routes, for the fleet of an experiment. With one pool it follows the register;
//! with more, their members are written down.
use std::fmt::Write;
use std::net::SocketAddr;

use crate::core::kit::*;
use crate::plan::Plan;

pub fn file(
    plan: &Plan,
    nth: usize,
    at: SocketAddr,
    fast: Option<SocketAddr>,
    register: SocketAddr,
    places: &[Vec<SocketAddr>],
    divided: bool,
) -> String {
    let view = plan.agents[nth].0;
    let mut text = format!(
        "name = \"n{nth}\"\nzone = \"z{view}\"\n[limits]\nmemory_mb = {}\ndescriptors = {}\n\
         [[listen]]\nname = \"main\"\nat = \"{at}\"\n",
        plan.memory_mb, plan.sockets
    );
    if let Some(fast) = fast {
        text += &format!("[[listen]]\nname = \"fast\"\nat = \"{fast}\"\nprotocol = \"fastcgi\"\n");
    }
    for pool in 0..plan.pools {
        text += &format!("[[pool]]\nname = \"p{pool}\"\nagents = {}\n", plan.agents.len());
        text += &match plan.pools {
            1 => format!("register = \"{register}\"\n"),
            _ => members(plan, pool, view, places),
        };
        if plan.fastcgi_pools.contains(&pool) {
            text += "protocol = \"fastcgi\"\n";
        }
        limits(&mut text, plan, divided);
    }
    for scheme in &plan.schemes {
        scheme_of(&mut text, scheme);
    }
    text
}

fn ms(at: Micros) -> f64 {
    at.0 as f64 / 1000.0
}

fn members(plan: &Plan, pool: usize, view: usize, places: &[Vec<SocketAddr>]) -> String {
    let own = plan.sites.iter().enumerate().filter(|(n, _)| n % plan.pools == pool);
    let row = |(n, site): (usize, &crate::core::fleet::Site)| {
        format!(
            "{{ at = \"{}\", name = \"b-{n}\", zone = \"z{}\", cell = {}, size = {:.2} }}",
            places[n][view], site.zone.0, site.cell, site.size
        )
    };
    format!("members = [{}]\n", own.map(row).collect::<Vec<_>>().join(", "))
}

fn limits(text: &mut String, plan: &Plan, divided: bool) {
    let (told, cold) = (&plan.told, &plan.sites[0].build.cold);
    // Undivided: nothing is guaranteed, and whoever comes may have all that is free.
    let (part, weight) = if divided { (0.8 / plan.pools as f64, 1.0) } else { (0.0, 1e9) };
    let _ = writeln!(
        text,
        "part = {part:.3}\nweight = {weight:.1}\nmax_postings = {}\ndrain_grace_ms = {:.1}\nask_within_ms = {:.1}\n\
         connect_ms = {:.1}\nidle_close_ms = {:.1}\nretry_after_ms = {:.1}\nprobes = {}\n\
         cold = {{ from = {:.2}, warm_ms = {:.1}, multiple = {:.2}, within_ms = {:.1} }}",
        told.most_postings,
        ms(told.drain_grace),
        ms(told.ask_within),
        ms(told.connect_within),
        ms(told.idle_close),
        ms(told.retry_after),
        told.probes,
        cold.from,
        ms(cold.span),
        cold.multiple,
        ms(cold.within)
    );
}

fn scheme_of(text: &mut String, scheme: &crate::core::crowd::Scheme) {
    let (name, kind, method) = match scheme.kind {
        RequestKind::Idempotent => (&scheme.name, "repeatable", "GET"),
        RequestKind::Keyed => (&scheme.name, "referenced", "POST"),
        RequestKind::NonIdempotent => (&scheme.name, "once-only", "POST"),
    };
    let (sla, expiry) = (ms(scheme.sla), ms(scheme.expiry));
    let _ = writeln!(
        text,
        "[[scheme]]\nname = \"{name}\"\nkind = \"{kind}\"\nsla_ms = {sla:.1}\nexpiry_ms = {expiry:.1}"
    );
    if scheme.kind == RequestKind::Keyed {
        let group = match scheme.group {
            DeduplicationScope::All => "all",
            DeduplicationScope::Zone => "zone",
            DeduplicationScope::Cell => "cell",
        };
        let window = ms(scheme.window);
        let _ =
            writeln!(text, "reference = \"Idempotency-Key\"\ngroup = \"{group}\"\nwindow_ms = {window:.1}");
    }
    let _ = writeln!(
        text,
        "[[route]]\nname = \"{name}\"\nprefix = \"/{name}\"\nmethod = [\"{method}\"]\nscheme = \"{name}\"\n\
         pool = \"p{}\"\nexpiry_header = \"X-Expires-In-Ms\"",
        scheme.pool
    );
}
