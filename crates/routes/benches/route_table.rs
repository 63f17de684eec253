//! What finding a route costs, by the number of routes: `cargo bench -p notchspool-routes`. Median of nine runs.
use std::time::Instant;

use notchspool_routes::route_rule::{HostPattern, PathPattern, RequestHead, RouteRule, SegmentPattern};
use notchspool_routes::route_table::RouteTable;

fn rules(many: usize) -> Vec<RouteRule> {
    let is = |s: &str| SegmentPattern::Literal(s.to_owned());
    (0..many)
        .map(|n| RouteRule {
            host: if n % 2 == 0 {
                HostPattern::Any
            } else {
                HostPattern::Exact(format!("h{}.example", n % 50))
            },
            path: match n % 3 {
                0 => PathPattern::Prefix(format!("/service-{n}")),
                1 => PathPattern::Exact(format!("/service-{n}/state")),
                _ => {
                    PathPattern::Segments(vec![is("accounts"), SegmentPattern::Any, is(&format!("act-{n}"))])
                }
            },
            methods: if n % 4 == 0 { vec!["POST".into()] } else { Vec::new() },
            ..RouteRule::default()
        })
        .collect()
}

fn main() {
    let headers = [("host", "h1.example"), ("x-customer", "acme"), ("content-length", "12")];
    for many in [1, 10, 100, 1_000, 10_000] {
        let table = RouteTable::new(rules(many));
        let paths: Vec<(String, String)> = (0..1000)
            .map(|k| {
                let n = k * 7919 % many.max(1);
                let host = if n % 2 == 0 { "any.example".into() } else { format!("h{}.example", n % 50) };
                let path = match n % 3 {
                    0 => format!("/service-{n}/a/b?c=d"),
                    1 => format!("/service-{n}/state"),
                    _ => format!("/accounts/4711/act-{n}"),
                };
                (host, path)
            })
            .collect();
        let ask = |(host, path): &(String, String)| {
            table.find(&RequestHead { listener: 0, host, path, method: "POST", headers: &headers })
        };
        assert!(paths.iter().all(|p| ask(p).is_some()));
        let mut runs: Vec<f64> = (0..9)
            .map(|_| {
                let began = Instant::now();
                for _ in 0..100 {
                    paths.iter().for_each(|p| {
                        std::hint::black_box(ask(p));
                    });
                }
                began.elapsed().as_nanos() as f64 / 100_000.0
            })
            .collect();
        runs.sort_by(f64::total_cmp);
        println!("{many:>6} routes: {:>7.0} ns a request ({:.0} to {:.0})", runs[4], runs[0], runs[8]);
    }
}
