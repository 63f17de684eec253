//! From the form to what the agent is built of. All mistakes that can be found at once are told at once, each with its
//! place; a name that is not there proposes the nearest one that is.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::PathBuf;

use notchspool::units::{DeduplicationScope, Micros, Policy, RequestClass, RequestKind};
use notchspool_routes::table::{Host, Path, Rule, Segment, Table, segments};
use toml::Spanned;

use super::*;
use crate::own::comes_back;
use crate::place::Mistake;
use crate::zone_number;

struct Seen<'a> {
    file: &'a str,
    text: &'a str,
    wrong: Vec<Mistake>,
}

impl Seen<'_> {
    fn wrong(&mut self, span: Range<usize>, what: impl Into<String>) {
        self.wrong.push(Mistake::at(self.file, self.text, Some(span), what));
    }
    fn within(&mut self, value: &Spanned<f64>, low: f64, high: f64) -> f64 {
        if !(low..=high).contains(value.get_ref()) {
            self.wrong(value.span(), format!("must lie between {low} and {high}"));
        }
        *value.get_ref()
    }
    fn count(&mut self, value: &Spanned<u32>, low: u32, high: u32) -> u32 {
        if !(low..=high).contains(value.get_ref()) {
            self.wrong(value.span(), format!("must lie between {low} and {high}"));
        }
        *value.get_ref()
    }
    /// The place of a name among those there are.
    fn find(&mut self, name: &Spanned<String>, what: &str, all: &[String]) -> Option<usize> {
        let found = all.iter().position(|n| n == name.get_ref());
        if found.is_none() {
            let near = |n: &&String| strsim::normalized_damerau_levenshtein(n, name.get_ref());
            let nearest = all.iter().max_by(|a, b| near(a).total_cmp(&near(b))).filter(|n| near(n) > 0.4);
            let hint = match (nearest, all.is_empty()) {
                (Some(near), _) => format!("; did you mean `{near}`?"),
                (None, true) => format!("; there is no {what} at all"),
                (None, false) => format!("; there are {}", all.join(", ")),
            };
            self.wrong(name.span(), format!("no {what} of that name{hint}"));
        }
        found
    }
    fn names<'a>(&mut self, what: &str, all: impl Iterator<Item = &'a Spanned<String>>) -> Vec<String> {
        let mut names: Vec<String> = Vec::new();
        let mut known = std::collections::BTreeSet::new();
        for name in all {
            let own = name.get_ref();
            if own.is_empty() || !own.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c)) {
                self.wrong(name.span(), format!("the name of a {what} is letters, digits, `-`, `_` and `.`"));
            } else if !known.insert(own.clone()) {
                self.wrong(name.span(), format!("a second {what} of that name"));
            }
            names.push(own.clone());
        }
        names
    }
    fn address(&mut self, at: &Spanned<String>) -> Option<SocketAddr> {
        let read = at.get_ref().parse().ok();
        if read.is_none() {
            self.wrong(at.span(), "no address and port, such as `127.0.0.1:8080` or `[::1]:8080`");
        }
        read
    }
}

/// In milliseconds.
const HOUR: f64 = 3_600_000.0;

fn ms(ms: f64) -> Micros {
    Micros((ms * 1000.0).round() as i64)
}

/// Reads the file. `file` is what it is called in mistakes.
pub fn read(file: &str, text: &str) -> Result<House, Vec<Mistake>> {
    let form: form::File =
        toml::from_str(text).map_err(|e| vec![Mistake::at(file, text, e.span(), e.message())])?;
    let mut seen = Seen { file, text, wrong: Vec::new() };
    let house = house(&mut seen, form);
    seen.wrong.sort_by_key(|w| (w.line, w.column));
    if seen.wrong.is_empty() { Ok(house) } else { Err(seen.wrong) }
}

/// No machine has more of anything.
const MOST: usize = 1 << 24;

fn house(seen: &mut Seen, f: form::File) -> House {
    let mut zones = Vec::new();
    let zone = zone_number(&mut zones, &f.zone);
    let schemes = schemes(seen, &f.scheme);
    let doors = doors(seen, &f.listen);
    let own = doors.iter().filter_map(|door| match door.at {
        Place::Tcp(at) => Some(at),
        Place::Unix(_) => None,
    });
    let own: Vec<SocketAddr> = own.collect();
    let management = f.management.as_ref().and_then(|at| seen.address(at));
    if let (Some(place), Some(at)) = (&f.management, management)
        && own.contains(&at)
    {
        seen.wrong(place.span(), "a listener is there already");
    }
    let fleet = f.fleet.as_ref().and_then(|row| fleet(seen, row, &f.name, &f.zone));
    let tenants = tenants(seen, f.tenants.as_ref());
    let pools = pools(seen, &f.pool, &schemes, &own, zone, tenants.as_ref());
    let routes = routes(seen, &f.route, &doors, &pools, &schemes);
    let memory_mb = *f.limits.memory_mb.get_ref();
    if memory_mb < 8 {
        seen.wrong(f.limits.memory_mb.span(), "below 8 MB nothing runs");
    }
    let descriptors = *f.limits.descriptors.get_ref();
    let least = 48 + 2 * (doors.len() + pools.len()) + 8 * pools.len();
    if descriptors < least {
        seen.wrong(
            f.limits.descriptors.span(),
            format!(
                "{} listeners and {} pools want {least} descriptors at the least",
                doors.len(),
                pools.len()
            ),
        );
    }
    for (place, limit) in [(&f.limits.memory_mb, memory_mb), (&f.limits.descriptors, descriptors)] {
        if limit > MOST {
            seen.wrong(place.span(), format!("is over {MOST}"));
        }
    }
    House {
        name: f.name,
        zones,
        seed: f.seed,
        management,
        memory_mb,
        descriptors,
        doors,
        pools,
        schemes,
        routes,
        tenants,
        fleet,
    }
}

fn fleet(seen: &mut Seen, row: &form::Fleet, name: &str, zone: &str) -> Option<Fleet> {
    let is_name = |text: &str| {
        let letters = text.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
        !text.is_empty() && text.len() <= 64 && letters
    };
    if !is_name(row.name.get_ref()) {
        seen.wrong(row.name.span(), "the name of a fleet is 1 to 64 letters, digits, `-`, `_` and `.`");
    }
    if !is_name(name) {
        let what = format!(
            "`name` is `{name}`, which can't be an instance's: 1 to 64 letters, digits, `-`, `_` and `.`"
        );
        seen.wrong(0..0, what);
    }
    if ![1, 3, 5].contains(&row.keepers.len()) {
        let place = row.keepers.first().map_or(row.name.span(), Spanned::span);
        seen.wrong(place, format!("{} keepers; 1, 3 or 5 are wanted", row.keepers.len()));
    }
    if row.state.get_ref().is_empty() {
        seen.wrong(row.state.span(), "a folder is wanted");
    }
    let mut keepers: Vec<SocketAddr> = Vec::new();
    for at in &row.keepers {
        let Some(read) = seen.address(at) else { continue };
        if keepers.contains(&read) {
            seen.wrong(at.span(), "a second keeper there");
        }
        keepers.push(read);
    }
    let state = row.state.get_ref().into();
    Some(Fleet { name: row.name.get_ref().clone(), keepers, state, zone: zone.to_owned() })
}

fn tenants(seen: &mut Seen, row: Option<&form::Tenants>) -> Option<Tenants> {
    let row = row?;
    let shares: Vec<(String, f64)> =
        row.shares.iter().map(|(name, share)| (name.clone(), seen.within(share, 0.0, 1.0))).collect();
    let sum: f64 = shares.iter().map(|t| t.1).sum();
    if let Some((_, last)) = row.shares.last_key_value().filter(|_| sum > 1.0 + 1e-9) {
        seen.wrong(last.span(), format!("the shares of the tenants come to {sum:.2}, more than the whole"));
    }
    Some(Tenants { header: row.header.to_ascii_lowercase(), shares })
}

/// By tenant, in their order; who has none stated may send what it will. Empty where shares are not judged.
fn quotas(seen: &mut Seen, row: &form::Pool, tenants: Option<&Tenants>) -> Vec<f64> {
    let names: Vec<String> = tenants.iter().flat_map(|t| &t.shares).map(|t| t.0.clone()).collect();
    let mut quotas = if row.quotas.is_empty() { Vec::new() } else { vec![f64::MAX; names.len()] };
    for (name, quota) in &row.quotas {
        let quota = seen.within(quota, 0.0, 1e9);
        if let Some(at) = seen.find(name, "tenant", &names) {
            quotas[at] = quota;
        }
    }
    quotas
}

fn schemes(seen: &mut Seen, rows: &[Spanned<form::Scheme>]) -> Vec<Row> {
    let names = seen.names("scheme", rows.iter().map(|r| &r.get_ref().name));
    let mut read = Vec::new();
    for (name, row) in names.into_iter().zip(rows) {
        let (span, row) = (row.span(), row.get_ref());
        let sla = seen.within(&row.sla_ms, 1.0, 3_600_000.0);
        let expiry = seen.within(&row.expiry_ms, 1.0, 3_600_000.0);
        if expiry < sla {
            seen.wrong(row.expiry_ms.span(), "the expiry lies before the SLA time");
        }
        let referenced = row.kind == form::Kind::Referenced;
        if referenced && (row.window_ms.is_none() || row.reference.is_none()) {
            seen.wrong(
                span,
                "a referenced scheme wants `window_ms` and `reference`, the header that carries it",
            );
        }
        if let (false, Some(window)) = (referenced, &row.window_ms) {
            seen.wrong(window.span(), "only a referenced scheme has a window");
        }
        if let (false, Some(reference)) = (referenced, &row.reference) {
            seen.wrong(reference.span(), "only a referenced scheme has a reference");
        }
        read.push(Row {
            name,
            scheme: RequestClass {
                kind: match row.kind {
                    form::Kind::Repeatable => RequestKind::Idempotent,
                    form::Kind::Referenced => RequestKind::Keyed,
                    form::Kind::OnceOnly => RequestKind::NonIdempotent,
                },
                scope: match row.group {
                    None | Some(form::Group::All) => DeduplicationScope::All,
                    Some(form::Group::Zone) => DeduplicationScope::Zone,
                    Some(form::Group::Cell) => DeduplicationScope::Cell,
                },
                deduplication_window: ms(row.window_ms.as_ref().map_or(0.0, |w| seen.within(w, 0.0, HOUR))),
                latency_target: ms(sla),
                late_value: seen.within(&row.overdue_value, 0.0, 1.0),
            },
            expiry: ms(expiry),
            reference: row.reference.as_ref().map(|r| r.get_ref().to_ascii_lowercase()),
        });
    }
    if read.is_empty() {
        seen.wrong(0..0, "no [[scheme]]: how may txns be repeated, and how long may they take?");
    }
    read
}

fn doors(seen: &mut Seen, rows: &[Spanned<form::Listen>]) -> Vec<Door> {
    let names = seen.names("listener", rows.iter().map(|r| &r.get_ref().name));
    let mut doors: Vec<Door> = Vec::new();
    for (name, row) in names.into_iter().zip(rows) {
        let at = match (&row.get_ref().at, &row.get_ref().unix) {
            (Some(at), None) => seen.address(at).map(Place::Tcp),
            (None, Some(path)) => Some(Place::Unix(path.get_ref().into())),
            _ => {
                seen.wrong(row.span(), "a listener wants one of `at` and `unix`");
                None
            }
        };
        // A mistake ends the reading later; the door keeps its place till then.
        let at = at.unwrap_or(Place::Unix(PathBuf::default()));
        if doors.iter().any(|d| d.at == at && at != Place::Unix(PathBuf::default())) {
            seen.wrong(row.span(), "a second listener there");
        }
        doors.push(Door { name, at, protocol: row.get_ref().protocol });
    }
    if doors.is_empty() {
        seen.wrong(0..0, "no [[listen]]: where should clients connect?");
    }
    doors
}

fn pools(
    seen: &mut Seen,
    rows: &[Spanned<form::Pool>],
    schemes: &[Row],
    own: &[SocketAddr],
    zone: notchspool::units::ZoneId,
    tenants: Option<&Tenants>,
) -> Vec<Pool> {
    let names = seen.names("pool", rows.iter().map(|r| &r.get_ref().name));
    let mut read = Vec::new();
    let mut taken: BTreeMap<SocketAddr, String> = BTreeMap::new();
    for (name, row) in names.iter().zip(rows) {
        let (span, row) = (row.span(), row.get_ref());
        if row.members.is_empty() == row.register.is_none() {
            seen.wrong(span, "a pool wants either `members` or a `register`");
        }
        let members = members(seen, name, &row.members, own, &mut taken);
        let retry_after = ms(seen.within(&row.retry_after_ms, 0.0, HOUR));
        let register = row.register.as_ref().and_then(|at| Some((at.span(), seen.address(at)?)));
        if let Some((span, _)) = register.clone().filter(|(_, at)| own.contains(at)) {
            seen.wrong(span, "this agent listens there itself");
        }
        if *row.live_weights.get_ref() && row.register.is_none() {
            seen.wrong(row.live_weights.span(), "only the sizes that a `register` tells can move with load");
        }
        let cold = &row.cold;
        let quotas = quotas(seen, row, tenants);
        let idle_close = ms(seen.within(&row.idle_close_ms, 1.0, 24.0 * HOUR));
        read.push(Pool {
            name: name.clone(),
            terms: Policy {
                agent_count: seen.count(&row.agents, 1, 1_000_000),
                zone,
                classes: schemes.iter().map(|s| s.scheme.clone()).collect(),
                max_attempts: seen.count(&row.max_postings, 1, 1000),
                drain_grace: Some(ms(seen.within(&row.drain_grace_ms, 0.0, HOUR))),
                // Asked more often, a register has nothing else to do.
                watch_within: ms(seen.within(&row.ask_within_ms, 500.0, HOUR)),
                list_on_request: row.register.is_some(),
                warmup_floor: seen.within(&cold.from, 0.01, 1.0),
                warmup_span: ms(seen.within(&cold.warm_ms, 0.0, HOUR)),
                warmup_multiple: seen.within(&cold.multiple, 0.1, 1000.0),
                warmup_window: ms(seen.within(&cold.within_ms, 1.0, HOUR)),
                retry_after: (retry_after > Micros(0)).then_some(retry_after),
                may_probe: row.probes,
                may_cancel: true,
                report_by_probe: row.probes,
                probe_price: 0.04,
                tick: Micros::ms(5),
                idle_timeout: idle_close,
                weights_follow_load: *row.live_weights.get_ref(),
                in_time_weight: f64::from(row.keeps_promises),
                has_peers: !quotas.is_empty(),
                quotas,
                ..Policy::default()
            },
            members,
            protocol: row.protocol,
            register: register.map(|(_, at)| at),
            connect_within: ms(seen.within(&row.connect_ms, 1.0, HOUR)),
            idle_close,
            part: row.part.as_ref().map_or(0.0, |part| seen.within(part, 0.0, 1.0)),
            weight: seen.within(&row.weight, 0.0, 1e12),
            backup: row.backup.as_ref().and_then(|backup| seen.find(backup, "pool", &names)),
        });
    }
    rings(seen, rows, &read);
    let sum: f64 = read.iter().map(|p| p.part).sum();
    if sum > 1.0 + 1e-9
        && let Some(part) = rows.iter().filter_map(|r| r.get_ref().part.as_ref()).next_back()
    {
        seen.wrong(
            part.span(),
            format!("the guaranteed parts of all pools come to {sum:.2}, more than the whole"),
        );
    }
    read
}

fn members(
    seen: &mut Seen,
    pool: &str,
    rows: &[Spanned<form::Member>],
    own: &[SocketAddr],
    taken: &mut BTreeMap<SocketAddr, String>,
) -> Vec<Member> {
    let mut read: Vec<Member> = Vec::new();
    for row in rows {
        let row = row.get_ref();
        let Some(at) = seen.address(&row.at) else { continue };
        // Two modules would each keep the cold and crowd rules for it, and together break them.
        match taken.insert(at, pool.to_owned()) {
            Some(other) if other != pool => seen.wrong(
                row.at.span(),
                format!("pool `{other}` has that backend too; one pool may, and routes share it"),
            ),
            Some(_) => seen.wrong(row.at.span(), "a second member there"),
            None => {}
        }
        // What is posted there would come in again, until all room is taken.
        if own.iter().any(|own| comes_back(*own, at)) {
            seen.wrong(row.at.span(), "this agent listens there itself");
        }
        let name = row.name.as_ref().map_or_else(|| at.to_string(), |name| name.get_ref().clone());
        // A name is one backend: with two addresses it would move from one to the other.
        if read.iter().any(|other| other.name == name && other.at != at) {
            let place = row.name.as_ref().map_or(row.at.span(), Spanned::span);
            seen.wrong(place, "a second member of that name");
        }
        let size = seen.within(&row.size, 1e-3, 1e6);
        read.push(Member { name, at, zone: row.zone.clone(), cell: row.cell, size });
    }
    read
}

fn rings(seen: &mut Seen, rows: &[Spanned<form::Pool>], pools: &[Pool]) {
    for (nth, row) in rows.iter().enumerate() {
        let mut at = nth;
        for _ in 0..pools.len() {
            let Some(next) = pools[at].backup else { break };
            at = next;
            if at == nth {
                if let Some(backup) = &row.get_ref().backup {
                    seen.wrong(backup.span(), "a ring: in the end this pool would be its own backup");
                }
                break;
            }
        }
    }
}

fn routes(
    seen: &mut Seen,
    rows: &[Spanned<form::Route>],
    doors: &[Door],
    pools: &[Pool],
    schemes: &[Row],
) -> Vec<Route> {
    let names = seen.names("route", rows.iter().map(|r| &r.get_ref().name));
    let of = |n: &[String]| n.to_vec();
    let (door_names, pool_names, scheme_names) = (
        of(&doors.iter().map(|d| d.name.clone()).collect::<Vec<_>>()),
        of(&pools.iter().map(|p| p.name.clone()).collect::<Vec<_>>()),
        of(&schemes.iter().map(|s| s.name.clone()).collect::<Vec<_>>()),
    );
    let mut read = Vec::new();
    for (name, spanned) in names.into_iter().zip(rows) {
        let (span, row) = (spanned.span(), spanned.get_ref());
        let rule = rule(seen, row, &door_names);
        let scheme = seen.find(&row.scheme, "scheme", &scheme_names);
        let mut own: Vec<(usize, f64)> = Vec::new();
        if row.pool.is_some() != row.pools.is_empty() {
            seen.wrong(span.clone(), "a route wants one of `pool` and `pools`");
        }
        own.extend(row.pool.as_ref().and_then(|p| seen.find(p, "pool", &pool_names)).map(|p| (p, 1.0)));
        for (pool, share) in &row.pools {
            let share = seen.within(share, 0.0, 1e9);
            own.extend(seen.find(pool, "pool", &pool_names).map(|p| (p, share)));
        }
        let sticky = sticky(seen, row.sticky.as_ref());
        let known = scheme.and_then(|s| schemes.get(s));
        if let Some(scheme) = known {
            repeatable_by_mistake(seen, row, scheme, &sticky, own.len());
        }
        let longest = known.map_or(Micros::ms(1), |s| s.expiry);
        let expiry = row.expiry_ms.as_ref().map_or(longest, |e| ms(seen.within(e, 1.0, 3_600_000.0)));
        // Each txn has a posting of its own.
        let multiple = seen.within(&row.multiple, 1.0, 1000.0);
        read.push(Route {
            name,
            rule,
            scheme: scheme.unwrap_or(0),
            pools: own,
            sticky,
            expiry_header: row.expiry_header.as_ref().map(|h| h.to_ascii_lowercase()),
            expiry,
            add: row.add.iter().map(|(n, v)| (n.to_ascii_lowercase(), v.clone())).collect(),
            remove: row.remove.iter().map(|n| n.to_ascii_lowercase()).collect(),
            multiple,
        });
    }
    if read.is_empty() {
        seen.wrong(0..0, "no [[route]]: what should be taken, and where should it go?");
    }
    let table = Table::new(read.iter().map(|r| r.rule.clone()).collect());
    for (nth, by) in table.covered() {
        let what = format!("can never be reached: route `{}` before it takes all of it", read[by].name);
        seen.wrong(rows[nth].get_ref().name.span(), what);
    }
    read
}

/// A once-only txn must not be one that others repeat by themselves; a reference must come back to who remembers it.
fn repeatable_by_mistake(seen: &mut Seen, row: &form::Route, scheme: &Row, sticky: &Sticky, pools: usize) {
    let kind = scheme.scheme.kind;
    if kind == RequestKind::NonIdempotent {
        let safe = ["GET", "HEAD", "OPTIONS", "TRACE"];
        if row.method.is_empty() {
            seen.wrong(
                row.scheme.span(),
                "a once-only scheme wants `method`: without it GET is taken too, which clients and proxies repeat",
            );
        }
        for method in row.method.iter().filter(|m| safe.contains(&m.get_ref().as_str())) {
            seen.wrong(
                method.span(),
                "clients and proxies repeat this method; a once-only scheme can't have it",
            );
        }
    }
    let reference = scheme.reference.clone().unwrap_or_default();
    if kind == RequestKind::Keyed && pools > 1 && *sticky != Sticky::Header(reference.clone()) {
        seen.wrong(
            row.scheme.span(),
            format!("a referenced scheme over several pools wants `sticky = \"header:{reference}\"`: a repeat must come \
                     to the pool that remembers it"),
        );
    }
}

fn sticky(seen: &mut Seen, told: Option<&Spanned<String>>) -> Sticky {
    let Some(told) = told else { return Sticky::Nothing };
    match told.get_ref().as_str() {
        "path" => Sticky::Path,
        "client" => Sticky::Client,
        other => match other.strip_prefix("header:") {
            Some(name) if !name.is_empty() => Sticky::Header(name.to_ascii_lowercase()),
            _ => {
                seen.wrong(told.span(), "`sticky` is `header:NAME`, `path` or `client`");
                Sticky::Nothing
            }
        },
    }
}

fn rule(seen: &mut Seen, row: &form::Route, doors: &[String]) -> Rule {
    let host = match row.host.as_ref().map(|h| (h, h.get_ref().to_ascii_lowercase())) {
        None => Host::Any,
        Some((_, host)) if !host.contains(['*', '/', ' ']) && !host.is_empty() => Host::Exact(host),
        Some((told, host)) => match host.strip_prefix("*.") {
            Some(below) if !below.contains(['*', '/', ' ']) && !below.is_empty() => Host::Below(below.into()),
            _ => {
                seen.wrong(told.span(), "a host is a name, or `*.` and a name");
                Host::Any
            }
        },
    };
    if let (Some(_), Some(prefix)) = (&row.path, &row.prefix) {
        seen.wrong(prefix.span(), "a route wants one of `path` and `prefix`");
    }
    for path in row.path.iter().chain(&row.prefix) {
        if !path.get_ref().starts_with('/') || path.get_ref().contains(['?', '#', ' ']) {
            seen.wrong(path.span(), "a path begins with `/` and has no query");
        }
    }
    let braces = |s: &str| s.starts_with('{') && s.ends_with('}') && s.len() > 2;
    let path = match (&row.path, &row.prefix) {
        (Some(path), _) if segments(path.get_ref()).any(braces) => {
            let segment = |s: &str| if braces(s) { Segment::Any } else { Segment::Is(s.into()) };
            Path::Segments(segments(path.get_ref()).map(segment).collect())
        }
        (Some(path), _) => Path::Exact(path.get_ref().clone()),
        (None, Some(prefix)) => Path::Below(prefix.get_ref().clone()),
        (None, None) => Path::Any,
    };
    Rule {
        listen: row.listen.iter().filter_map(|name| seen.find(name, "listener", doors)).collect(),
        host,
        path,
        methods: row.method.iter().map(|m| m.get_ref().clone()).collect(),
        headers: row.header.iter().map(|(n, v)| (n.to_ascii_lowercase(), v.clone())).collect(),
    }
}
