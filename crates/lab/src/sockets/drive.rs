//! One arm of an experiment, from the first listener to the verdict.
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, sleep_until};

use super::agents::{Agent, Footprint, Programs};
use super::clients::Crowd;
use super::loopback::{AddressBlock, Host, free_port, listen, raise_descriptor_limit};
use super::stage::{LEAD, Stage};
use super::{backends, registry};
use crate::core::agreement::{Agreement, Place, Repeats};
use crate::core::auditor::{Verdict, audit, history};
use crate::core::crowd::{digest, orders};
use crate::core::fleet::Fleet;
use crate::core::kit::*;
use crate::core::ledger::Ledger;
use crate::core::register::Register;
use crate::core::service::{Recovery, Service};
use crate::core::world::{Effect, World};
use crate::plan::{Arm, Plan};

/// What came of one arm.
pub struct Outcome {
    pub arm: String,
    pub service: Service,
    pub verdict: Verdict,
    /// The histories of the first txns with which a rule was broken.
    pub histories: Vec<(TxnId, Vec<String>)>,
    pub recoveries: Vec<(usize, Recovery)>,
    pub footprints: Vec<Footprint>,
    pub digest: u32,
    pub orders: usize,
    /// Orders settled, declined, reversed, or without an answer, by their last try.
    pub ends: [usize; 4],
    pub by_backend: Vec<usize>,
    /// Connections that the backends saw.
    pub links: usize,
    /// The lab's own lateness in milliseconds: median, 99%, most.
    pub late_ms: [f64; 3],
    pub span: Micros,
    /// Why this run does not count, where it does not.
    pub void: Option<String>,
    pub agent_counters: Vec<String>,
    /// All that was written down.
    pub ledger: Ledger,
}

/// Later than this in one of a hundred moments, the lab was no fair measure.
const LATE: f64 = 20.0;

/// What happens meanwhile, for who looks on.
pub type Look<'a> = &'a dyn Fn(Micros, usize, usize);

pub fn run(
    plan: &Plan,
    arm: &Arm,
    programs: &Programs,
    folder: &Path,
    look: Look,
) -> Result<Outcome, String> {
    let wanted = plan.sites.len() * plan.zones.len() * 2
        + plan.agents.len() * 2
        + plan.habits.clients.unwrap_or(1000) * 2
        + plan.agents.len() * plan.sockets as usize / 2;
    raise_descriptor_limit(wanted as u64 + 200)?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, play(plan, arm, programs, folder, look))
}

async fn play(
    plan: &Plan,
    arm: &Arm,
    programs: &Programs,
    folder: &Path,
    look: Look<'_>,
) -> Result<Outcome, String> {
    let block = AddressBlock::take();
    let zones = plan.zones.len();
    let stage = Rc::new(Stage::new(world(plan), zones));
    stand_backends(&stage, plan, block)?;
    let mut agents = Vec::new();
    for (nth, zone) in plan.agents.iter().enumerate() {
        let discovery = listen(SocketAddr::new(block.address(Host::Registry(nth)), 0))?;
        let at = discovery.local_addr().map_err(|e| e.to_string())?;
        spawn_local(registry::stand(stage.clone(), AgentId(nth), zone.0, discovery));
        let known = registry::line(&stage, &stage.world.borrow().register.whole(), zone.0);
        let known: Value = serde_json::from_str(&known).map_err(|e| e.to_string())?;
        let own = free_port(block.address(Host::Agent(nth)))?;
        let speaks = arm.routes.is_some() && plan.fastcgi_clients > 0.0;
        let fast = speaks.then(|| free_port(block.address(Host::Agent(nth)))).transpose()?;
        let mut agent =
            Agent::new(nth, plan, arm, programs, own, fast, at, &known, &stage.places.borrow(), folder)?;
        agent.launch(plan.seed)?;
        agents.push(agent);
    }
    for agent in &mut agents {
        agent.ready().await?;
    }

    let orders = Rc::new(orders(&plan.habits, &plan.schemes, plan.span, plan.most_orders, plan.seed));
    let crowd = Rc::new(Crowd {
        stage: stage.clone(),
        schemes: plan.schemes.clone(),
        tenants: plan.tenants.clone(),
        habits: plan.habits.clone(),
        agents: agents.iter().map(|agent| agent.at).collect(),
        fast: agents.iter().map(|agent| agent.fast).collect(),
        fast_part: plan.fastcgi_clients,
        fast_idle: RefCell::new((0..agents.len()).map(|_| Vec::new()).collect()),
        service: RefCell::new(Service::new(plan.schemes.len(), plan.tenants.len(), plan.span)),
        idle: RefCell::new((0..agents.len()).map(|_| Vec::new()).collect()),
        tries: Cell::new(0),
        open: Cell::new(0),
        ended: Cell::new(0),
        ends: RefCell::default(),
        refused: Cell::new(0),
        closing: Cell::new(false),
    });
    // Backends have been idle till now, and so has the world's time.
    stage.begin();
    let asking = match plan.habits.clients {
        None => spawn_local(crowd.clone().open_loop(orders.clone())),
        Some(clients) => spawn_local(crowd.clone().closed_loop(orders.clone(), clients)),
    };
    let mut outcome = host(&stage, &crowd, &mut agents, plan, &orders, asking, look).await?;
    outcome.arm = arm.name.clone();
    Ok(outcome)
}

fn world(plan: &Plan) -> World {
    let now = Micros(0) - LEAD;
    let fleet = Fleet::new(plan.sites.clone(), plan.schemes.clone(), plan.seed, now);
    let register = Register::new(plan.sites.len(), plan.register_delay, plan.register_keep);
    World::new(fleet, register, plan.faults.clone(), &plan.agents, plan.seed)
}

fn stand_backends(stage: &Rc<Stage>, plan: &Plan, block: AddressBlock) -> Result<(), String> {
    let idle = Duration::from_micros(plan.told.idle_close.0.max(1) as u64);
    for back in 0..plan.sites.len() {
        let mut places = Vec::new();
        for zone in 0..plan.zones.len() {
            let listener = listen(SocketAddr::new(block.address(Host::Backend { backend: back, zone }), 0))?;
            let at = listener.local_addr().map_err(|e| e.to_string())?;
            places.push(at);
            let fast = plan.fastcgi_pools.contains(&(back % plan.pools)).then_some(plan.fastcgi_at_once);
            spawn_local(backends::stand(stage.clone(), BackId(back), zone, at, listener, idle, fast));
        }
        stage.places.borrow_mut().push(places);
    }
    Ok(())
}

/// Lives through the run: the world's moments, agents that come and go, and a look from time to time.
async fn host(
    stage: &Rc<Stage>,
    crowd: &Rc<Crowd>,
    agents: &mut [Agent],
    plan: &Plan,
    orders: &[crate::core::crowd::Order],
    asking: tokio::task::JoinHandle<()>,
    look: Look<'_>,
) -> Result<Outcome, String> {
    let longest = plan.schemes.iter().map(|s| s.expiry).max().unwrap_or_default();
    // What is still out after the last order's expiry may yet run: it is waited for too.
    let end = plan.span + longest + Micros::ms(500);
    let step = Micros::ms(200);
    let mut next_look = step;
    let mut footprints = Vec::new();
    let mut quarter = 1;
    let mut void = None;
    let mut down = vec![false; agents.len()];
    loop {
        let now = stage.now();
        if now >= plan.span {
            crowd.closing.set(true);
        }
        let idle = asking.is_finished() && crowd.open.get() == 0;
        if now >= end || (idle && plan.habits.clients.is_some()) {
            break;
        }
        let due = stage.world.borrow().next().unwrap_or(next_look);
        let wake = due.min(next_look).max(now);
        tokio::select! {
            () = sleep_until(stage.instant(wake).into()) => {}
            () = stage.poke.notified() => continue,
        }
        if due <= next_look && due > now {
            stage.late(due);
        }
        for effect in stage.advance() {
            match effect {
                Effect::Kill(agent) => {
                    stage.world.borrow_mut().killed(stage.now(), agent);
                    agents[agent.0].kill();
                    crowd.forget(agent);
                    down[agent.0] = true;
                }
                Effect::Term(agent) => {
                    agents[agent.0].term();
                    down[agent.0] = true;
                }
                Effect::Launch(agent) => {
                    if agents[agent.0].kill() {
                        stage.world.borrow_mut().killed(stage.now(), agent);
                    }
                    agents[agent.0].gone().await;
                    crowd.forget(agent);
                    stage.world.borrow_mut().launched(stage.now(), agent);
                    agents[agent.0].launch(plan.seed)?;
                    down[agent.0] = false;
                }
                _ => {}
            }
        }
        let now = stage.now();
        if now >= next_look {
            next_look = now + step;
            look(now, crowd.ended.get(), crowd.open.get());
            for (nth, agent) in agents.iter_mut().enumerate().filter(|(nth, _)| !down[*nth]) {
                if agent.crashed() {
                    void = void.or(Some(format!("agent {} ended by itself", agents_name(nth))));
                }
            }
            if now.0 * 4 >= plan.span.0 * quarter && quarter <= 4 {
                quarter += 1;
                let all = agents.iter().filter_map(|agent| agent.footprint(now));
                let most = all.fold(Footprint { at: now, ..Footprint::default() }, |most, one| Footprint {
                    memory_kb: most.memory_kb.max(one.memory_kb),
                    descriptors: most.descriptors.max(one.descriptors),
                    cpu: most.cpu + one.cpu,
                    ..most
                });
                footprints.push(most);
            }
        }
    }
    asking.abort();
    let mut agent_counters = Vec::new();
    for agent in agents.iter_mut() {
        if let Ok((200, page)) = crate::http::get(agent.at, "/-/counters", Duration::from_millis(500)).await {
            agent_counters.push(String::from_utf8_lossy(&page).into_owned());
        }
        agent.kill();
        agent.gone().await;
    }
    sleep(Duration::from_millis(20)).await;
    Ok(sum_up(stage, crowd, plan, orders, footprints, void, agent_counters))
}

fn agents_name(nth: usize) -> String {
    format!("n{nth}")
}

pub fn agreement(plan: &Plan) -> Agreement {
    Agreement {
        schemes: plan
            .schemes
            .iter()
            .map(|s| Repeats { kind: s.kind, group: s.group, window: s.window })
            .collect(),
        places: plan
            .sites
            .iter()
            .map(|s| Place { zone: s.zone, cell: s.cell, able: s.build.cores as f64 * s.build.speed })
            .collect(),
        cold: plan.sites.first().map(|s| s.build.cold),
        drain_grace: Some(plan.told.drain_grace),
        most_postings: plan.told.most_postings,
        slack: Micros::ms(50),
        connect_within: plan.told.connect_within,
    }
}

fn sum_up(
    stage: &Stage,
    crowd: &Crowd,
    plan: &Plan,
    orders: &[crate::core::crowd::Order],
    footprints: Vec<Footprint>,
    void: Option<String>,
    agent_counters: Vec<String>,
) -> Outcome {
    let world = stage.world.borrow();
    let ledger = &world.fleet.ledger;
    let verdict = audit(ledger, &agreement(plan));
    let mut named: Vec<TxnId> = verdict.breaches.iter().filter_map(|b| b.txn).collect();
    named.dedup();
    let histories = named.iter().take(3).map(|&txn| (txn, history(ledger, txn))).collect();
    let mut by_backend = vec![0; plan.sites.len()];
    for (_, entry) in &ledger.lines {
        if let crate::core::ledger::Entry::Began { back, .. } = entry {
            by_backend[back.0] += 1;
        }
    }
    let service = crowd.service.borrow().clone();
    let recoveries = recoveries(&service, plan);
    let lateness = stage.lateness.borrow();
    let at = |q: f64| lateness.value_at_quantile(q) as f64 / 1000.0;
    let late_ms = [at(0.5), at(0.99), lateness.max() as f64 / 1000.0];
    let late = (late_ms[1] > LATE).then(|| {
        format!(
            "the lab was late by {:.0} ms in one of a hundred moments: too much for this machine",
            late_ms[1]
        )
    });
    Outcome {
        arm: String::new(),
        recoveries,
        service,
        verdict,
        histories,
        footprints,
        digest: digest(orders),
        orders: crowd.ended.get(),
        ends: *crowd.ends.borrow(),
        by_backend,
        links: stage.links_opened.get(),
        late_ms,
        span: plan.span,
        void: void.or(late),
        agent_counters,
        ledger: ledger.clone(),
    }
}

fn recoveries(service: &Service, plan: &Plan) -> Vec<(usize, Recovery)> {
    let ends = |f: &crate::core::timetable::Fault| f.until.min(plan.span);
    let one = |(nth, fault): (usize, &crate::core::timetable::Fault)| {
        // Before: since the last fault ended, or the first two seconds are over.
        let before = plan.faults.iter().filter(|f| f.until < fault.from).map(ends).max();
        let from = before.unwrap_or(Micros::ms(2000)).min(fault.from - Micros::ms(1000));
        let next = plan.faults.iter().map(|f| f.from).filter(|&at| at > fault.until).min();
        let until = next.unwrap_or(plan.span).min(plan.span);
        (nth, service.recovery(from.max(Micros(0)), fault.from, ends(fault), until))
    };
    plan.faults.iter().enumerate().map(one).collect()
}
