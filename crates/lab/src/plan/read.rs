//! From the file to what the core is opened with. Every mistake is named by file, line and word; all of those
//! that can be found at once are told at once.
use std::collections::BTreeMap;
use std::ops::Range;

use toml::Spanned;

use super::file::{self, File, IllName};
use crate::core::backend::{Build, Choke, Cold};
use crate::core::crowd::{Again, Burst, Habits, Scheme};
use crate::core::fleet::Site;
use crate::core::kit::*;
use crate::core::timetable::{Fault, Ill, Place, Who};
use crate::plain::policy::Policy;
use notchspool_settings::mistake::Mistake;

#[derive(Clone, Debug)]
pub struct Plan {
    pub name: String,
    pub title: String,
    pub about: String,
    pub seed: u64,
    pub span: Micros,
    pub zones: Vec<String>,
    pub sites: Vec<Site>,
    /// The zone of each agent.
    pub agents: Vec<ZoneId>,
    pub memory_mb: u64,
    pub sockets: u64,
    pub register_delay: Micros,
    pub register_keep: usize,
    pub told: Told,
    pub schemes: Vec<Scheme>,
    pub tenants: Vec<String>,
    pub habits: Habits,
    /// Orders at the most: bounded also where time is not.
    pub most_orders: usize,
    /// Backends belong to them in turn.
    pub pools: usize,
    /// Those whose backends speak `FastCGI`, and the part of the clients that do.
    pub fastcgi_pools: Vec<usize>,
    pub fastcgi_at_once: usize,
    pub fastcgi_clients: f64,
    pub faults: Vec<Fault>,
    pub arms: Vec<Arm>,
    pub must: Must,
}

/// What the agents are told beside the schemes.
#[derive(Clone, Debug)]
pub struct Told {
    pub drain_grace: Micros,
    pub ask_within: Micros,
    pub most_postings: usize,
    pub retry_after: Micros,
    pub connect_within: Micros,
    pub idle_close: Micros,
    pub probes: bool,
    pub cancel: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Arm {
    pub name: String,
    pub agent: Option<String>,
    pub plain: Option<Policy>,
    /// The agent with routes; whether room is divided between its pools.
    pub routes: Option<bool>,
    pub settings: BTreeMap<String, serde_json::Value>,
}

pub use super::file::Must;

/// One reading of a file: it gathers what is wrong.
pub struct Seen<'a> {
    file: &'a str,
    text: &'a str,
    wrong: Vec<Mistake>,
}

/// Orders of one run: what a lab in one process still carries.
const MOST_ORDERS: usize = 500_000;

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
    fn count(&mut self, value: &Spanned<usize>, low: usize, high: usize) -> usize {
        if !(low..=high).contains(value.get_ref()) {
            self.wrong(value.span(), format!("must lie between {low} and {high}"));
        }
        *value.get_ref()
    }
    fn pair(&mut self, value: &Spanned<[f64; 2]>, least: f64) -> (f64, f64) {
        let [low, high] = *value.get_ref();
        if !(low >= least && high >= low) {
            self.wrong(value.span(), format!("wants two figures, the lower one first, none below {least}"));
        }
        (low, high)
    }
}

pub fn ms(ms: f64) -> Micros {
    Micros((ms * 1000.0).round() as i64)
}
fn seconds(s: f64) -> Micros {
    ms(s * 1000.0)
}

/// Reads an experiment. `file` is what it is called in mistakes.
pub fn read(file: &str, text: &str, seed: Option<u64>) -> Result<Plan, Vec<Mistake>> {
    let read: File =
        toml::from_str(text).map_err(|e| vec![Mistake::at(file, text, e.span(), e.message())])?;
    let mut seen = Seen { file, text, wrong: Vec::new() };
    let plan = plan(&mut seen, file, read, seed);
    if seen.wrong.is_empty() { Ok(plan) } else { Err(seen.wrong) }
}

fn plan(seen: &mut Seen, file: &str, f: File, seed: Option<u64>) -> Plan {
    let seed = seed.unwrap_or(f.seed);
    let span = seconds(seen.within(&f.seconds, 0.5, 3600.0));
    let zones = f.fleet.zones.get_ref().clone();
    if zones.is_empty() || zones.len() > 16 {
        seen.wrong(f.fleet.zones.span(), "wants 1 to 16 zones");
    }
    let many = zones.len().max(1);
    let sites = sites(seen, &f.fleet, many, seed);
    let agents = seen.count(&f.fleet.agents, 1, 200);
    let uneven = seen.within(&f.fleet.uneven, 1.0, 1000.0);
    // From the quietest to the busiest by equal factors; their zones in turn.
    let weight = |n: usize| uneven.powf(n as f64 / (agents.max(2) - 1) as f64);
    let schemes = schemes(seen, f.scheme);
    let pools = seen.count(&f.fleet.pools, 1, 50);
    if schemes.iter().any(|s| s.pool >= pools) {
        let what = format!("a scheme names a pool beyond these {pools}; the first is 0");
        seen.wrong(f.fleet.pools.span(), what);
    }
    let tenants: Vec<(String, f64)> = f.traffic.get_ref().tenants.clone().into_iter().collect();
    let shares = (tenants.iter().map(|t| t.1).collect(), (0..agents).map(weight).collect());
    let able: f64 = sites.iter().map(|s| s.build.cores as f64 * s.build.speed).sum();
    let (habits, most_orders) = habits(seen, &f.traffic, &f.burst, &schemes, able, shares);
    let faults = f.fault.iter().filter_map(|fault| self::fault(seen, fault, &zones, span)).collect();
    Plan {
        name: std::path::Path::new(file).file_stem().unwrap_or_default().to_string_lossy().into_owned(),
        title: f.title,
        about: f.about,
        seed,
        span,
        sites,
        agents: (0..agents).map(|n| ZoneId(n % many)).collect(),
        zones,
        memory_mb: *f.fleet.memory_mb.get_ref(),
        sockets: *f.fleet.sockets.get_ref(),
        register_delay: ms(f.register.delay_ms.max(0.0)),
        register_keep: f.register.keep.max(1),
        told: Told {
            drain_grace: ms(f.terms.drain_grace_ms),
            ask_within: ms(f.terms.ask_within_ms),
            most_postings: f.terms.max_postings.max(1),
            retry_after: ms(f.terms.retry_after_ms),
            connect_within: ms(f.terms.connect_ms),
            idle_close: ms(f.terms.idle_close_ms),
            probes: f.terms.probes,
            cancel: f.terms.cancel,
        },
        schemes,
        tenants: tenants.into_iter().map(|t| t.0).collect(),
        habits,
        most_orders,
        pools,
        fastcgi_pools: f.fleet.fastcgi_pools.clone(),
        fastcgi_at_once: seen.count(&f.fleet.fastcgi_at_once, 1, 1000),
        fastcgi_clients: f.traffic.get_ref().fastcgi,
        faults,
        arms: f.arm.iter().map(|a| arm(seen, a)).collect(),
        must: f.must,
    }
}

fn sites(seen: &mut Seen, fleet: &file::Fleet, zones: usize, seed: u64) -> Vec<Site> {
    let backends = seen.count(&fleet.backends, 1, 1000);
    let cores = seen.count(&fleet.cores, 1, 64);
    let room = seen.count(&fleet.room, 1, 100_000);
    let cells = seen.count(&fleet.cells, 1, 1000);
    let speed = seen.pair(&fleet.speed, 0.01);
    let report = seen.pair(&fleet.report_ms, 1.0);
    let noise = seen.within(&fleet.noise, 0.0, 1.0);
    let size = fleet.size.as_ref().map(|size| seen.within(size, 0.01, 1e6));
    let link_work = ms(seen.within(&fleet.link_work_ms, 0.0, 1000.0));
    let between = |n: u64, kind, (low, high): (f64, f64)| low + (high - low) * lot(seed, &[51, n, kind]);
    let site = |n: usize| Site {
        zone: ZoneId(n % zones),
        cell: (n % cells) as u64,
        size: size.unwrap_or(cores as f64 * between(n as u64, 1, speed)),
        build: Build {
            cores,
            speed: between(n as u64, 1, speed),
            room,
            choke: fleet.choke.as_ref().map(|c| Choke {
                per_core: c.waiting_per_core,
                after: ms(c.after_ms),
                slower: c.slower,
                rest: ms(c.rest_ms),
            }),
            cold: Cold {
                from: fleet.cold.from.clamp(0.01, 1.0),
                span: ms(fleet.cold.warm_ms),
                multiple: fleet.cold.multiple,
                within: ms(fleet.cold.within_ms),
            },
            drops_waiting: fleet.drops_waiting,
            link_work,
            refresh: ms(between(n as u64, 2, report)),
            noise,
        },
    };
    (0..backends).map(site).collect()
}

fn schemes(seen: &mut Seen, rows: Vec<Spanned<file::Scheme>>) -> Vec<Scheme> {
    let mut schemes: Vec<Scheme> = Vec::new();
    for spanned in rows {
        let (span, row) = (spanned.span(), spanned.into_inner());
        let named = row.name.get_ref();
        if named.is_empty() || !named.chars().all(|c| c.is_ascii_alphanumeric() || c == '-') {
            seen.wrong(row.name.span(), "a scheme's name is letters, digits and dashes");
        }
        if schemes.iter().any(|s| s.name == *named) {
            seen.wrong(row.name.span(), "a second scheme of that name");
        }
        let work = seen.pair(&row.work_ms, 0.0);
        let sla = seen.within(&row.sla_ms, 1.0, 3_600_000.0);
        if *row.expiry_ms.get_ref() < sla {
            seen.wrong(row.expiry_ms.span(), "the expiry lies before the SLA time");
        }
        if row.kind == file::Kind::Referenced && row.window_ms.is_none() {
            seen.wrong(span.clone(), "a referenced scheme wants `window_ms`");
        }
        if row.kind != file::Kind::Referenced
            && let Some(window) = &row.window_ms
        {
            seen.wrong(window.span(), "only a referenced scheme has a window");
        }
        schemes.push(Scheme {
            name: named.clone(),
            kind: match row.kind {
                file::Kind::Repeatable => RequestKind::Idempotent,
                file::Kind::Referenced => RequestKind::Keyed,
                file::Kind::OnceOnly => RequestKind::NonIdempotent,
            },
            group: match row.group {
                None | Some(file::Group::All) => DeduplicationScope::All,
                Some(file::Group::Zone) => DeduplicationScope::Zone,
                Some(file::Group::Cell) => DeduplicationScope::Cell,
            },
            window: ms(row.window_ms.map_or(0.0, Spanned::into_inner)),
            sla: ms(sla),
            expiry: ms(*row.expiry_ms.get_ref()),
            value: row.value,
            overdue: row.overdue,
            share: seen.within(&row.share, 0.0, 1000.0),
            work: (ms(work.0), ms(work.1)),
            pool: row.pool,
        });
    }
    if schemes.is_empty() {
        seen.wrong(0..0, "no [[scheme]]: what should the clients ask for?");
        schemes = Vec::new();
    }
    schemes
}

fn habits(
    seen: &mut Seen,
    spanned: &Spanned<file::Traffic>,
    bursts: &[Spanned<file::Burst>],
    schemes: &[Scheme],
    able: f64,
    (tenants, agents): (Vec<f64>, Vec<f64>),
) -> (Habits, usize) {
    let t = spanned.get_ref();
    let shares: f64 = schemes.iter().map(|s| s.share).sum();
    let work = |s: &Scheme| s.share * (s.work.0 + s.work.1).0 as f64 / 2.0;
    let mean = schemes.iter().map(work).sum::<f64>() / shares.max(1e-9);
    let given = [t.load.is_some(), t.rate.is_some(), t.clients.is_some()].iter().filter(|x| **x).count();
    if given != 1 {
        seen.wrong(spanned.span(), "[traffic] wants one of `load`, `rate` and `clients`");
    }
    if t.clients.is_some() != t.orders.is_some() {
        seen.wrong(spanned.span(), "`clients` and `orders` go together");
    }
    let load = t.load.as_ref().map(|load| seen.within(load, 0.001, 10.0));
    let rate = match (load, &t.rate) {
        (Some(load), _) => load * able * 1e6 / mean.max(1.0),
        (None, Some(rate)) => seen.within(rate, 0.01, 20_000.0),
        (None, None) => 1.0,
    };
    let burst = |seen: &mut Seen, b: &Spanned<file::Burst>| {
        let (span, b) = (b.span(), b.get_ref());
        if b.until_s <= b.from_s || b.times < 0.0 {
            seen.wrong(span, "a burst ends after it begins, and `times` is not below nothing");
        }
        Burst { from: seconds(b.from_s), until: seconds(b.until_s), times: b.times.max(0.0) }
    };
    let habits = Habits {
        rate,
        clients: t.clients.as_ref().map(|c| seen.count(c, 1, 10_000)),
        bursts: bursts.iter().map(|b| burst(seen, b)).collect(),
        patience: seen.pair(&t.patience, 0.001),
        leavers: t.leavers,
        again: match t.again {
            None | Some(file::Again { most: 0, .. }) => Again::Never,
            Some(file::Again { most, wait_ms: None }) => Again::AtOnce(most),
            Some(file::Again { most, wait_ms: Some(wait) }) => Again::After(ms(wait), most),
        },
        tenants,
        agents,
    };
    let most = t.orders.as_ref().map_or(MOST_ORDERS, |o| seen.count(o, 1, MOST_ORDERS));
    (habits, most)
}

fn fault(seen: &mut Seen, spanned: &Spanned<file::Fault>, zones: &[String], span: Micros) -> Option<Fault> {
    let (place, f) = (spanned.span(), spanned.get_ref());
    let (from, until) = (seconds(*f.from_s.get_ref()), seconds(*f.until_s.get_ref()));
    if until <= from {
        seen.wrong(f.until_s.span(), "a fault ends after it begins");
    }
    if from < Micros(0) || from >= span {
        seen.wrong(f.from_s.span(), "begins outside of the run");
    }
    let want = |seen: &mut Seen, field: &Option<Spanned<f64>>, name: &str, low, high| match field {
        Some(value) => Some(seen.within(value, low, high)),
        None => {
            seen.wrong(f.ill.span(), format!("wants `{name}`"));
            None
        }
    };
    let ill = match f.ill.get_ref() {
        IllName::Crash => Ill::Crash,
        IllName::Hang => Ill::Hang,
        IllName::Slow => Ill::Slow(want(seen, &f.times, "times", 0.01, 1000.0)?),
        IllName::Errors => Ill::Errors {
            share: want(seen, &f.share, "share", 0.0, 1.0)?,
            ran: f.ran.as_ref().map_or(0.5, |ran| seen.within(ran, 0.0, 1.0)),
        },
        IllName::Break => Ill::Break {
            share: want(seen, &f.share, "share", 0.0, 1.0)?,
            place: match f.place {
                Some(file::Place::Before) => Place::Before,
                Some(file::Place::Middle) => Place::Middle,
                Some(file::Place::After) => Place::After,
                None => {
                    seen.wrong(f.ill.span(), "wants `place`: before, middle or after");
                    return None;
                }
            },
        },
        IllName::CutOff => Ill::CutOff(want(seen, &f.share, "share", 0.0, 1.0)?),
        IllName::Spoilt => Ill::Spoilt(want(seen, &f.share, "share", 0.0, 1.0)?),
        IllName::HalfOpen => Ill::HalfOpen(want(seen, &f.share, "share", 0.0, 1.0)?),
        IllName::IdleForgotten => Ill::IdleForgotten,
        IllName::ZoneCut => Ill::ZoneCut,
        IllName::Drain => Ill::Drain,
        IllName::RegisterOut => Ill::RegisterOut,
        IllName::RegisterLate => Ill::RegisterLate(ms(want(seen, &f.by_ms, "by_ms", 1.0, 600_000.0)?)),
        IllName::RegisterSlow => Ill::RegisterSlow(ms(want(seen, &f.by_ms, "by_ms", 1.0, 600_000.0)?)),
        IllName::RegisterEmpty => Ill::RegisterEmpty,
        IllName::Removal => Ill::Removal,
        IllName::Kill => Ill::Kill,
        IllName::Restart => Ill::Restart,
    };
    let named = [f.of.is_some(), f.these.is_some(), f.zone.is_some()].iter().filter(|x| **x).count();
    if named > 1 {
        seen.wrong(place.clone(), "wants one of `of`, `these` and `zone`");
    }
    let who = match (&f.of, &f.these, &f.zone) {
        (Some(of), ..) => Who::Share(seen.within(of, 0.0, 1.0)),
        (_, Some(these), _) => Who::These(these.get_ref().clone()),
        (.., Some(zone)) => match zones.iter().position(|z| z == zone.get_ref()) {
            Some(at) => Who::Zone(ZoneId(at)),
            None => {
                seen.wrong(zone.span(), format!("no such zone; there are {}", zones.join(", ")));
                return None;
            }
        },
        _ => Who::All,
    };
    if ill == Ill::ZoneCut && !matches!(who, Who::Zone(_)) {
        seen.wrong(place, "a zone cut wants `zone`");
    }
    Some(Fault { ill, from, until, who })
}

fn arm(seen: &mut Seen, spanned: &Spanned<file::Arm>) -> Arm {
    let a = spanned.get_ref();
    let plain = a.plain.as_ref().and_then(|name| {
        let policy = Policy::named(name.get_ref());
        if policy.is_none() {
            seen.wrong(name.span(), format!("no such policy; there are {}", Policy::NAMES.join(", ")));
        }
        policy
    });
    if a.plain.is_some() && a.agent.is_some() {
        seen.wrong(spanned.span(), "an arm has `agent` or `plain`, not both");
    }
    let routes = a.routes.as_ref().and_then(|told| match told.get_ref().as_str() {
        "divided" => Some(true),
        "undivided" => Some(false),
        _ => {
            seen.wrong(told.span(), "`routes` is `divided` or `undivided`");
            None
        }
    });
    let json =
        |(path, value): (&String, &toml::Value)| Some((path.clone(), serde_json::to_value(value).ok()?));
    Arm {
        name: a.name.clone(),
        agent: a.agent.clone(),
        plain,
        routes,
        settings: a.settings.iter().filter_map(json).collect(),
    }
}
