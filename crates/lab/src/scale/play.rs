//! A run: start, rest, changes of stations, configurations, drains, claims; each measured by what the kernel says of the real processes and
//! by the frames that the hollow agents sent and were told.
use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

use super::field::{Field, beats, post};
use super::hollow::{self, Counts, Event, Order, Shared, Told, service, zone};
use super::proc::Looks;
use super::{Plan, TOLD};

/// What one process cost in a phase.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Of a core.
    pub cpu: f64,
    pub rss_mb: f64,
    pub peak_mb: f64,
    pub sockets: usize,
    /// Bytes a second on its connections, out and in, and to the disk.
    pub out: f64,
    pub into: f64,
    pub disk: f64,
}

/// One phase.
#[derive(Clone, Debug, Default)]
pub struct Phase {
    pub name: String,
    pub span: f64,
    pub replicas: Vec<Cost>,
    pub proxies: Vec<Cost>,
    /// This process: all hollow agents together.
    pub own: Cost,
    /// Of all hollow agents, bytes a second: sent; told, by what it was.
    pub sent: f64,
    pub came: f64,
    pub pongs: f64,
    pub bills: f64,
    pub words: f64,
    pub claimed: f64,
    pub frames_in: f64,
    pub frames_out: f64,
    pub dials: u64,
    pub lost: u64,
    /// Seconds from the event to each agent that came to know of it.
    pub times: Vec<f64>,
    /// Who should have known, and events.
    pub due: usize,
    pub events: usize,
}

#[derive(Clone, Debug, Default)]
pub struct Sheet {
    pub hollow: usize,
    pub proxies: usize,
    pub seed: u64,
    pub word_bytes: usize,
    pub packed_bytes: usize,
    /// Agents that were told all in time.
    pub whole: usize,
    pub phases: Vec<Phase>,
    pub granted: usize,
    pub refused: usize,
    pub late: usize,
}

fn part(times: &[f64], part: f64) -> f64 {
    let mut sorted = times.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = ((sorted.len() as f64 * part) as usize).min(sorted.len().saturating_sub(1));
    sorted.get(at).copied().unwrap_or(f64::NAN)
}

impl Sheet {
    pub fn phase(&self, name: &str) -> Option<&Phase> {
        self.phases.iter().find(|p| p.name == name)
    }

    pub fn table(&self) -> String {
        let mut text = String::new();
        let _ = writeln!(
            text,
            "{} hollow agents, {} real proxies, seed {}; told all: {}; a configuration of {} bytes, {} packed",
            self.hollow, self.proxies, self.seed, self.whole, self.word_bytes, self.packed_bytes
        );
        for p in &self.phases {
            let _ = writeln!(text, "{} ({:.2} s)", p.name, p.span);
            let mut roles = vec![("hollows, all", p.own)];
            roles.extend(p.replicas.iter().map(|c| ("control-plane", *c)));
            roles.extend(p.proxies.iter().map(|c| ("proxy", *c)));
            for (role, c) in roles {
                let _ = writeln!(
                    text,
                    "  {role:<13} cpu {:.5} of a core, {:.1} MB (peak {:.1}), {} sockets, out {:.0} B/s, in {:.0} B/s, disk {:.0} B/s",
                    c.cpu, c.rss_mb, c.peak_mb, c.sockets, c.out, c.into, c.disk
                );
            }
            let each = |all: f64| all / self.hollow.max(1) as f64;
            let _ = writeln!(
                text,
                "  a hollow agent sends {:.1} B/s ({:.2} frames), is told {:.1} B/s ({:.2} frames): pongs {:.1}, bills {:.1}, words {:.1}, votes {:.1}; dials {}, lost {}",
                each(p.sent),
                each(p.frames_out),
                each(p.came),
                each(p.frames_in),
                each(p.pongs),
                each(p.bills),
                each(p.words),
                each(p.claimed),
                p.dials,
                p.lost
            );
            if p.events > 0 {
                let _ = writeln!(
                    text,
                    "  {} events, told {} of {}: median {:.1} ms, 99% {:.1} ms, last {:.1} ms",
                    p.events,
                    p.times.len(),
                    p.due,
                    part(&p.times, 0.5) * 1e3,
                    part(&p.times, 0.99) * 1e3,
                    part(&p.times, 1.0) * 1e3
                );
            }
        }
        let _ =
            writeln!(text, "claims: {} granted, {} refused, {} late", self.granted, self.refused, self.late);
        text
    }
}

/// Counts of frames at one time.
#[derive(Clone, Copy)]
struct Sums([u64; 10]);

fn sums(c: &Counts) -> Sums {
    let each = [
        &c.sent,
        &c.pongs,
        &c.bills,
        &c.words,
        &c.claimed,
        &c.other,
        &c.frames_in,
        &c.frames_out,
        &c.dials,
        &c.lost,
    ];
    Sums(each.map(|n: &AtomicU64| n.load(Relaxed)))
}

struct Run {
    field: Field,
    shared: Arc<Shared>,
    told: mpsc::UnboundedReceiver<Told>,
    orders: Vec<mpsc::UnboundedSender<Order>>,
    sheet: Sheet,
}

type Mark = (Looks, Sums);

impl Run {
    fn mark(&self) -> Mark {
        (self.field.looks(), sums(&self.shared.counts))
    }

    fn phase(&self, name: &str, from: &Mark) -> Phase {
        let to = self.mark();
        let span = to.0.at.duration_since(from.0.at).as_secs_f64().max(1e-9);
        let cost = |n: usize| {
            let (a, b) = (
                from.0.each.get(n).copied().unwrap_or_default(),
                to.0.each.get(n).copied().unwrap_or_default(),
            );
            Cost {
                cpu: b.busy.saturating_sub(a.busy).as_secs_f64() / span,
                rss_mb: b.rss_kb as f64 / 1024.0,
                peak_mb: b.peak_kb as f64 / 1024.0,
                sockets: b.sockets,
                out: b.sent.saturating_sub(a.sent) as f64 / span,
                into: b.got.saturating_sub(a.got) as f64 / span,
                disk: b.disk.saturating_sub(a.disk) as f64 / span,
            }
        };
        let (replicas, proxies) = (self.field.replicas.len(), self.field.proxies.len());
        let grown = |n: usize| to.1.0[n].saturating_sub(from.1.0[n]);
        let rate = |n: usize| grown(n) as f64 / span;
        Phase {
            name: name.into(),
            span,
            replicas: (0..replicas).map(cost).collect(),
            proxies: (replicas..replicas + proxies).map(cost).collect(),
            own: cost(replicas + proxies),
            sent: rate(0),
            pongs: rate(1),
            bills: rate(2),
            words: rate(3),
            claimed: rate(4),
            came: (1..6).map(rate).sum(),
            frames_in: rate(6),
            frames_out: rate(7),
            dials: grown(8),
            lost: grown(9),
            ..Phase::default()
        }
    }

    /// Waits until so many events of this kind came; the seconds of each since `began`.
    async fn until(
        &mut self,
        began: Instant,
        count: usize,
        within: Duration,
        mut is: impl FnMut(&Event) -> bool,
    ) -> Vec<f64> {
        let (mut times, end) = (Vec::new(), tokio::time::Instant::from_std(began + within));
        while times.len() < count {
            match tokio::time::timeout_at(end, self.told.recv()).await {
                Ok(Some((at, event))) if is(&event) => {
                    times.push(at.saturating_duration_since(began).as_secs_f64());
                }
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => break,
            }
        }
        times
    }

    async fn put(&self, version: u64) -> Result<bool, String> {
        let body = Bytes::from(self.field.word(version));
        let at = self.field.seeds(8306);
        let to = at.get(version as usize % at.len().max(1)).cloned().unwrap_or_default();
        let status = post(to, "/notchspool/rpc?call=config.replace".into(), body).await;
        match status {
            Ok(200) => Ok(true),
            Ok(400) => Err("a replica refuses the configuration".into()),
            _ => Ok(false),
        }
    }

    async fn first_word(&self) -> Result<(), String> {
        let began = Instant::now();
        while !self.put(1).await? {
            if began.elapsed() > Duration::from_secs(20) {
                return Err("no replica took the first configuration within 20 s".into());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    async fn start(&mut self) -> Result<(), String> {
        let (plan, began, from) = (self.field.plan.clone(), Instant::now(), self.mark());
        let whole = self.until(began, plan.hollow, plan.ramp + plan.settle, |e| *e == Event::Whole).await;
        let mut phase = self.phase("start", &from);
        self.sheet.whole = whole.len();
        (phase.times, phase.due, phase.events) = (whole, plan.hollow, 1);
        self.sheet.phases.push(phase);
        Ok(())
    }

    async fn rest(&mut self, name: &str) {
        let from = self.mark();
        tokio::time::sleep(self.field.plan.span).await;
        let phase = self.phase(name, &from);
        self.sheet.phases.push(phase);
    }

    async fn changes(&mut self) {
        let rate = self.field.plan.changes;
        self.shared.changes.store((rate * 1e3) as u64, Relaxed);
        self.rest("changes").await;
        self.shared.changes.store(0, Relaxed);
        if let Some(phase) = self.sheet.phases.last_mut() {
            phase.name = format!("changes, {rate} a second");
        }
    }

    async fn words(&mut self) -> Result<(), String> {
        let (from, count, whole) = (self.mark(), self.field.plan.words, self.sheet.whole);
        let mut times = Vec::new();
        for version in 2..2 + count as u64 {
            let began = Instant::now();
            if !self.put(version).await? {
                return Err(format!("version {version} was not acknowledged"));
            }
            times.extend(self.until(began, whole, TOLD, |e| *e == Event::Word(version)).await);
        }
        let mut phase = self.phase("configurations", &from);
        (phase.times, phase.due, phase.events) = (times, whole * count, count);
        self.sheet.phases.push(phase);
        Ok(())
    }

    async fn drains(&mut self) {
        let (from, count, whole) = (self.mark(), self.field.plan.drains, self.sheet.whole);
        let mut chance = oorandom::Rand64::new(u128::from(self.field.plan.seed));
        let mut times = Vec::new();
        let mut drawn = std::collections::BTreeSet::new();
        while drawn.len() < count.min(self.field.plan.hollow) {
            let n = chance.rand_range(0..self.field.plan.hollow.max(1) as u64) as usize;
            if !drawn.insert(n) {
                continue;
            }
            let began = Instant::now();
            let order = self.orders.get(n % self.shared.threads).map(|o| o.send(Order::Drain(n)));
            if order.is_some_and(|sent| sent.is_ok()) {
                times.extend(self.until(began, whole, TOLD, |e| *e == Event::Drains(n)).await);
            }
        }
        let mut phase = self.phase("drains", &from);
        (phase.times, phase.due, phase.events) = (times, whole * drawn.len(), drawn.len());
        self.sheet.phases.push(phase);
    }

    async fn claims(&mut self) {
        let rate = self.field.plan.claims;
        while self.told.try_recv().is_ok() {}
        self.shared.claims.store((rate * 1e3) as u64, Relaxed);
        self.rest("claims").await;
        self.shared.claims.store(0, Relaxed);
        tokio::time::sleep(Duration::from_millis(400)).await;
        let mut times = Vec::new();
        while let Ok((_, event)) = self.told.try_recv() {
            match event {
                Event::Claim(true, Some(took)) => {
                    self.sheet.granted += 1;
                    times.push(took.as_secs_f64());
                }
                Event::Claim(false, Some(_)) => self.sheet.refused += 1,
                Event::Claim(_, None) => self.sheet.late += 1,
                _ => {}
            }
        }
        let due = self.sheet.granted + self.sheet.refused + self.sheet.late;
        if let Some(phase) = self.sheet.phases.last_mut() {
            phase.name = format!("claims, {rate} a second");
            (phase.times, phase.due, phase.events) = (times, due, due);
        }
    }
}

/// Plays a plan to its end; `say` is told of each phase as it ends.
pub fn play(plan: &Plan, mut say: impl FnMut(&str)) -> Result<Sheet, String> {
    plan.check()?;
    crate::sockets::loopback::raise_descriptor_limit(plan.need().sockets)?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let mut field = Field::lay(plan.clone())?;
    let (events, told) = mpsc::unbounded_channel();
    let shared = Arc::new(Shared {
        seed: plan.seed,
        block: field.block,
        hollow: plan.hollow,
        proxies: plan.proxies,
        services: plan.services,
        threads: plan.threads,
        seeds: field.seeds(7620),
        ramp: plan.ramp,
        counts: Counts::default(),
        events,
        changes: AtomicU64::new(0),
        claims: AtomicU64::new(0),
    });
    for process in field.replicas.iter_mut().chain(&mut field.proxies) {
        process.start(&[])?;
    }
    let word_bytes = field.word(1).len();
    let packed_bytes = notchspool_mesh_protocol::ConfigUpdate::new(1, field.word(1).as_bytes()).body.len();
    let sheet = Sheet {
        hollow: plan.hollow,
        proxies: plan.proxies,
        seed: plan.seed,
        word_bytes,
        packed_bytes,
        ..Sheet::default()
    };
    let mut run = Run { field, shared: shared.clone(), told, orders: Vec::new(), sheet };
    let all = async {
        for n in 0..plan.proxies {
            let ip = run.field.ip("proxy", n);
            tokio::task::spawn_local(beats(ip, zone(n), service(n, plan.services), n));
        }
        run.first_word().await?;
        say("a first configuration holds");
        let mut threads = Vec::new();
        for nth in 0..plan.threads {
            let (give, take) = mpsc::unbounded_channel();
            run.orders.push(give);
            let shared = shared.clone();
            threads.push(std::thread::spawn(move || hollow::run(&shared, nth, take)));
        }
        run.start().await?;
        say(&format!("{} of {} hollow agents were told all", run.sheet.whole, plan.hollow));
        // What the start left over is not counted to what follows.
        tokio::time::sleep(Duration::from_secs(2).min(plan.span)).await;
        run.rest("rest").await;
        say("measured at rest");
        if plan.changes > 0.0 {
            run.changes().await;
            say("measured under changes");
        }
        run.words().await?;
        say("configurations told");
        run.drains().await;
        say("drains told");
        if plan.claims > 0.0 {
            run.claims().await;
            say("claims made");
        }
        run.orders.clear();
        // The threads end once nobody orders; one that fails says so.
        for thread in threads {
            match thread.join() {
                Ok(ended) => ended.map_err(|e| format!("hollow agents: {e}"))?,
                Err(_) => return Err("a thread of hollow agents broke off".into()),
            }
        }
        Ok::<(), String>(())
    };
    let ended = async {
        let most = plan.need().time;
        // Whoever ends this process ends the others with it.
        let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        tokio::select! {
            done = tokio::time::timeout(most, all) => done.map_err(|_| format!("not over within {most:?}"))?,
            _ = tokio::signal::ctrl_c() => Err("broken off".into()),
            _ = term.recv() => Err("broken off".into()),
        }
    };
    tokio::task::LocalSet::new().block_on(&runtime, ended)?;
    Ok(run.sheet)
}
