//! The routes of an operator's file (`[[route]]`).
use notchspool::units::{Micros, RequestKind};
use notchspool_routes::route_rule::{HostPattern, PathPattern, RouteRule, SegmentPattern, segments};
use notchspool_routes::route_table::RouteTable;
use toml::Spanned;

use super::checker::Checker;
use super::form;
use super::{Affinity, ClassConfig, Listener, Pool, Route, RoutePool};

/// The longest deadline that a route may state, in milliseconds: an hour.
const MAX_DEADLINE_MS: f64 = 3_600_000.0;
const MAX_WEIGHT: f64 = 1e9;
const MAX_ATTEMPT_MULTIPLE: f64 = 1000.0;
/// The deadline of a route whose class is a mistake.
const NO_CLASS_DEADLINE: Micros = Micros::ms(1);
/// Methods that clients and proxies repeat by themselves.
const SAFE_METHODS: [&str; 4] = ["GET", "HEAD", "OPTIONS", "TRACE"];

/// The names that routes may refer to.
struct Names {
    listeners: Vec<String>,
    pools: Vec<String>,
    classes: Vec<String>,
}

/// The routes. Mistakes are noted in the checker.
pub fn read(
    checker: &mut Checker,
    rows: &[Spanned<form::Route>],
    listeners: &[Listener],
    pools: &[Pool],
    classes: &[ClassConfig],
) -> Vec<Route> {
    let known = Names {
        listeners: listeners.iter().map(|listener| listener.name.clone()).collect(),
        pools: pools.iter().map(|pool| pool.name.clone()).collect(),
        classes: classes.iter().map(|class| class.name.clone()).collect(),
    };
    let names = checker.names("route", rows.iter().map(|row| &row.get_ref().name));
    let routes: Vec<Route> = names
        .into_iter()
        .zip(rows)
        .map(|(name, row)| read_route(checker, name, row, &known, classes))
        .collect();
    if routes.is_empty() {
        checker.mistake(0..0, "no [[route]]: what should be taken, and where should it go?");
    }
    check_reachable(checker, rows, &routes);
    routes
}

fn read_route(
    checker: &mut Checker,
    name: String,
    spanned: &Spanned<form::Route>,
    known: &Names,
    classes: &[ClassConfig],
) -> Route {
    let row = spanned.get_ref();
    let rule = read_rule(checker, row, &known.listeners);
    let class_index = checker.index_of(&row.class, "scheme", &known.classes);
    let pools = read_pools(checker, spanned, &known.pools);
    let affinity = read_affinity(checker, row.sticky.as_ref());
    let class = class_index.and_then(|index| classes.get(index));
    if let Some(class) = class {
        check_repeats(checker, row, class, &affinity, pools.len());
    }
    let class_deadline = class.map_or(NO_CLASS_DEADLINE, |class| class.max_deadline);
    let max_deadline = row.expiry_ms.as_ref().map(|e| checker.milliseconds(e, 1.0, MAX_DEADLINE_MS));
    Route {
        name,
        rule,
        class: class_index.unwrap_or(0),
        pools,
        affinity,
        deadline_header: row.expiry_header.as_ref().map(|header| header.to_ascii_lowercase()),
        max_deadline: max_deadline.unwrap_or(class_deadline),
        added_headers: row.add.iter().map(|(n, v)| (n.to_ascii_lowercase(), v.clone())).collect(),
        removed_headers: row.remove.iter().map(|name| name.to_ascii_lowercase()).collect(),
        // Each request has an attempt of its own.
        attempt_multiple: checker.number(&row.multiple, 1.0, MAX_ATTEMPT_MULTIPLE),
    }
}

fn read_pools(checker: &mut Checker, spanned: &Spanned<form::Route>, known: &[String]) -> Vec<RoutePool> {
    let row = spanned.get_ref();
    if row.pool.is_some() != row.pools.is_empty() {
        checker.mistake(spanned.span(), "a route wants one of `pool` and `pools`");
    }
    let single = row.pool.as_ref().and_then(|name| checker.index_of(name, "pool", known));
    let mut pools: Vec<RoutePool> = Vec::new();
    pools.extend(single.map(|pool| RoutePool { pool, weight: 1.0 }));
    for (name, weight) in &row.pools {
        let weight = checker.number(weight, 0.0, MAX_WEIGHT);
        pools.extend(checker.index_of(name, "pool", known).map(|pool| RoutePool { pool, weight }));
    }
    pools
}

fn check_reachable(checker: &mut Checker, rows: &[Spanned<form::Route>], routes: &[Route]) {
    let table = RouteTable::new(routes.iter().map(|route| route.rule.clone()).collect());
    for unreachable in table.unreachable() {
        let earlier = &routes[unreachable.covered_by].name;
        let what = format!("can never be reached: route `{earlier}` before it takes all of it");
        checker.mistake(rows[unreachable.route].get_ref().name.span(), what);
    }
}

/// A non-idempotent request must not be one that others repeat by themselves; a keyed one must come back to the pool that remembers its key.
fn check_repeats(
    checker: &mut Checker,
    row: &form::Route,
    class: &ClassConfig,
    affinity: &Affinity,
    pools: usize,
) {
    if class.class.kind == RequestKind::NonIdempotent {
        if row.method.is_empty() {
            let what = "a once-only scheme wants `method`: without it GET is taken too, which clients and proxies repeat";
            checker.mistake(row.class.span(), what);
        }
        for method in row.method.iter().filter(|m| SAFE_METHODS.contains(&m.get_ref().as_str())) {
            let what = "clients and proxies repeat this method; a once-only scheme can't have it";
            checker.mistake(method.span(), what);
        }
    }
    let key_header = class.key_header.clone().unwrap_or_default();
    let keeps_keys = *affinity == Affinity::Header(key_header.clone());
    if class.class.kind == RequestKind::Keyed && pools > 1 && !keeps_keys {
        let what = format!(
            "a referenced scheme over several pools wants `sticky = \"header:{key_header}\"`: \
             a repeat must come to the pool that remembers it"
        );
        checker.mistake(row.class.span(), what);
    }
}

fn read_affinity(checker: &mut Checker, field: Option<&Spanned<String>>) -> Affinity {
    let Some(field) = field else { return Affinity::None };
    match field.get_ref().as_str() {
        "path" => Affinity::Path,
        "client" => Affinity::Client,
        other => match other.strip_prefix("header:") {
            Some(name) if !name.is_empty() => Affinity::Header(name.to_ascii_lowercase()),
            _ => {
                checker.mistake(field.span(), "`sticky` is `header:NAME`, `path` or `client`");
                Affinity::None
            }
        },
    }
}

fn read_rule(checker: &mut Checker, row: &form::Route, listeners: &[String]) -> RouteRule {
    let host = read_host(checker, row.host.as_ref());
    let path = read_path(checker, row);
    RouteRule {
        listeners: row
            .listen
            .iter()
            .filter_map(|name| checker.index_of(name, "listener", listeners))
            .collect(),
        host,
        path,
        methods: row.method.iter().map(|method| method.get_ref().clone()).collect(),
        headers: row.header.iter().map(|(n, v)| (n.to_ascii_lowercase(), v.clone())).collect(),
    }
}

fn read_host(checker: &mut Checker, field: Option<&Spanned<String>>) -> HostPattern {
    let Some(field) = field else { return HostPattern::Any };
    let host = field.get_ref().to_ascii_lowercase();
    let is_name = |text: &str| !text.is_empty() && !text.contains(['*', '/', ' ']);
    match host.strip_prefix("*.") {
        _ if is_name(&host) => HostPattern::Exact(host),
        Some(parent) if is_name(parent) => HostPattern::Subdomains(parent.into()),
        _ => {
            checker.mistake(field.span(), "a host is a name, or `*.` and a name");
            HostPattern::Any
        }
    }
}

fn read_path(checker: &mut Checker, row: &form::Route) -> PathPattern {
    if let (Some(_), Some(prefix)) = (&row.path, &row.prefix) {
        checker.mistake(prefix.span(), "a route wants one of `path` and `prefix`");
    }
    for path in row.path.iter().chain(&row.prefix) {
        if !path.get_ref().starts_with('/') || path.get_ref().contains(['?', '#', ' ']) {
            checker.mistake(path.span(), "a path begins with `/` and has no query");
        }
    }
    match (&row.path, &row.prefix) {
        (Some(path), _) if segments(path.get_ref()).any(is_placeholder) => {
            PathPattern::Segments(segments(path.get_ref()).map(segment_pattern).collect())
        }
        (Some(path), _) => PathPattern::Exact(path.get_ref().clone()),
        (None, Some(prefix)) => PathPattern::Prefix(prefix.get_ref().clone()),
        (None, None) => PathPattern::Any,
    }
}

/// Whether a segment stands in braces, for any.
fn is_placeholder(segment: &str) -> bool {
    segment.starts_with('{') && segment.ends_with('}') && segment.len() > 2
}

fn segment_pattern(segment: &str) -> SegmentPattern {
    if is_placeholder(segment) { SegmentPattern::Any } else { SegmentPattern::Literal(segment.into()) }
}
