//! Plays a timetable against a field with orders running, then lets all heal and gathers what was seen.
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use notchspool_commands::{CommandKind, Revision};
use notchspool_fleet_protocol::client::FleetClient;
use notchspool_fleet_protocol::{Body, CommandRequest, LeaseStatus, Selector};
use oorandom::Rand64;

use super::field::{End, Field};
use super::judge::{Asked, History, Poll, effects};
use super::process::{Disk, wait};
use super::timetable::{Event, What, Who};

/// All heals and ends within this, however slow the machine is.
const PATIENCE: Duration = Duration::from_secs(60);

pub struct Played {
    pub history: History,
    /// Orders asked and acknowledged, pairs by their state.
    pub orders: usize,
    pub acknowledged: usize,
    pub owners: usize,
    /// From asking an order to its acknowledgement.
    pub acknowledged_in: Vec<Duration>,
}

fn client(field: &Field, name: &str) -> FleetClient {
    FleetClient::new("lab", &field.seen_all(End::Client), name)
}

/// The place of whoever owns now.
pub fn owner(field: &Field) -> Option<(usize, u64)> {
    (0..field.keepers.len()).find_map(|k| {
        let at = field.keeper_at(k);
        let asked = FleetClient::new("lab", &[at], "ground").ask_one(
            at,
            &Body::GetStatus,
            Duration::from_millis(200),
        );
        match asked {
            Ok(Body::Status(is)) if is.is_owner => Some((k, is.owner.map_or(0, |o| o.token.0))),
            _ => None,
        }
    })
}

/// Waits for an owner that has `instances` instances registered.
pub fn settled(field: &Field, instances: usize) -> Result<(), String> {
    let mut seen = 0;
    let all = wait("all instances register", PATIENCE, || {
        let body = client(field, "ground").ask(&Body::ListInstances, Duration::from_secs(1));
        if let Ok(Body::Instances { instances, .. }) = body {
            seen = instances
                .iter()
                .filter(|i| i.lease == LeaseStatus::Live && i.last_contact_us.is_some())
                .count();
        }
        seen >= instances
    });
    all.map(|_| ()).map_err(|why| format!("{why}; {seen} of {instances} did"))
}

fn ends(field: &Field, who: Who) -> Option<End> {
    match who {
        Who::Keeper(n) => (n < field.keepers.len()).then_some(End::Keeper(n)),
        Who::Agent(n) => (n < field.agents.len()).then_some(End::Agent(n)),
        Who::Owner => owner(field).map(|(n, _)| End::Keeper(n)),
    }
}

/// What `owner` meant when it began holds till it ends.
#[derive(Default)]
struct Meant {
    stopped: Vec<End>,
    cut: Vec<End>,
    killed: Vec<End>,
}

fn happen(
    field: &mut Field,
    event: &Event,
    meant: &mut Meant,
    killed: &mut BTreeSet<String>,
) -> Result<(), String> {
    let one = |field: &Field, who: Who, before: &mut Vec<End>, begins: bool| match (who, begins) {
        (Who::Owner, false) => before.pop(),
        (Who::Owner, true) => {
            let end = ends(field, who);
            before.extend(end);
            end
        }
        (who, _) => ends(field, who),
    };
    fn process(field: &mut Field, end: End) -> Option<&mut super::process::Process> {
        match end {
            End::Keeper(n) => field.keepers.get_mut(n),
            End::Agent(n) => field.agents.get_mut(n),
            End::Client => None,
        }
    }
    let way = |field: &Field, a: End, b: Option<End>, change: &dyn Fn(&mut super::relay::Rules)| match (a, b)
    {
        (a, None) => field.ways(a, change),
        (End::Keeper(a), Some(End::Keeper(b))) => {
            field.way(End::Keeper(a), b, change);
            field.way(End::Keeper(b), a, change);
        }
        (a, Some(End::Keeper(b))) | (End::Keeper(b), Some(a)) => field.way(a, b, change),
        _ => {}
    };
    match event.what {
        What::Stop(who) => {
            if let Some(p) = one(field, who, &mut meant.stopped, true).and_then(|e| process(field, e)) {
                p.stop();
            }
        }
        What::GoOn(who) => {
            if let Some(p) = one(field, who, &mut meant.stopped, false).and_then(|e| process(field, e)) {
                p.go_on();
            }
        }
        What::Kill(who) => {
            if let Some(p) = one(field, who, &mut meant.killed, true).and_then(|e| process(field, e)) {
                p.kill();
                killed.insert(p.name.clone());
            }
        }
        What::Start(who, disk) => {
            if let Some(p) = one(field, who, &mut meant.killed, false).and_then(|e| process(field, e)) {
                p.kill();
                p.disk(disk);
                p.start(&[])?;
            }
        }
        What::Cut(a, b) => {
            if let Some(a) = one(field, a, &mut meant.cut, true) {
                way(field, a, b.and_then(|b| ends(field, b)), &|r| r.cut = true);
            }
        }
        What::Mend(a, b) => {
            if let Some(a) = one(field, a, &mut meant.cut, false) {
                way(field, a, b.and_then(|b| ends(field, b)), &|r| r.cut = false);
            }
        }
        What::Silent(a, b, back) => {
            if let Some(a) = ends(field, a) {
                let change = |r: &mut super::relay::Rules| {
                    if back { r.back.silent = true } else { r.out.silent = true }
                };
                way(field, a, b.and_then(|b| ends(field, b)), &change);
            }
        }
        What::Heard(a, b) => {
            if let Some(a) = ends(field, a) {
                way(field, a, b.and_then(|b| ends(field, b)), &|r| {
                    (r.out.silent, r.back.silent) = (false, false);
                });
            }
        }
        What::Chop(a, b, after) => {
            if let (Some(a), Some(b)) = (ends(field, a), ends(field, b)) {
                way(field, a, Some(b), &|r| r.chop = Some(after));
                std::thread::sleep(Duration::from_millis(20));
                way(field, a, Some(b), &|r| r.chop = None);
            }
        }
        What::Slow(delay, spread) => field.all_ways(|r| {
            for way in [&mut r.out, &mut r.back] {
                (way.delay, way.spread) = (Duration::from_millis(delay), Duration::from_millis(spread));
            }
        }),
    }
    Ok(())
}

/// Everything is as it should be again, and everybody runs.
pub fn heal(field: &mut Field) -> Result<(), String> {
    field.all_ways(|r| *r = super::relay::Rules::default());
    for p in field.keepers.iter_mut().chain(&mut field.agents) {
        p.go_on();
        if let Some(code) = p.ended() {
            return Err(format!("{} ended by itself with {code:?}; see {}", p.name, p.log.display()));
        }
        if !p.runs() {
            p.disk(Disk::Kept);
            p.start(&[])?;
        }
    }
    Ok(())
}

/// Orders of one client, one after the other, until it is told to end.
fn orders(
    mut client: FleetClient,
    who: usize,
    agents: usize,
    zones: usize,
    seed: u64,
    over: &AtomicBool,
) -> (Vec<Asked>, Vec<Duration>) {
    let mut chance = Rand64::new(u128::from(seed) * 31 + who as u128);
    let (mut asked, mut spans) = (Vec::new(), Vec::new());
    for nth in 0..60 {
        if over.load(Ordering::Relaxed) {
            break;
        }
        let mut below = |n: usize| chance.rand_range(0..n as u64) as usize;
        let act =
            [CommandKind::Drain, CommandKind::Undrain, CommandKind::Undrain, CommandKind::Reload][below(4)];
        let whom = match below(3) {
            0 => Selector { names: vec![format!("a{}", below(agents))], ..Selector::default() },
            1 => Selector { zones: vec![format!("z{}", below(zones))], ..Selector::default() },
            _ => Selector { all: true, ..Selector::default() },
        };
        let part = [None, Some(0.25)][below(2)];
        let id = format!("c{who}-{nth}");
        let order = CommandRequest {
            id: id.clone(),
            author: format!("c{who}"),
            kind: act,
            targets: whom,
            within_us: 4_000_000,
            max_unavailable: part,
            expected_revision: None,
        };
        let began = Instant::now();
        let mut told = Vec::new();
        if let Ok(Body::CommandAccepted { revision, .. }) =
            client.ask(&Body::SubmitCommand(order.clone()), Duration::from_secs(5))
        {
            told.push(revision.0);
            spans.push(began.elapsed());
            // Now and then asked again, as one who lost the answer.
            if below(3) == 0
                && let Ok(Body::CommandAccepted { revision, .. }) =
                    client.ask(&Body::SubmitCommand(order), Duration::from_secs(2))
            {
                told.push(revision.0);
            }
        }
        asked.push(Asked { id, told });
        std::thread::sleep(Duration::from_millis(50 + below(300) as u64));
    }
    (asked, spans)
}

fn poll(keepers: &[std::net::SocketAddr], began: Instant, over: &AtomicBool) -> Vec<Poll> {
    let mut polls = Vec::new();
    let mut nth = 0;
    while !over.load(Ordering::Relaxed) && polls.len() < 200_000 {
        let at = keepers[nth % keepers.len()];
        nth += 1;
        let asked_us = began.elapsed().as_micros() as u64;
        let said =
            FleetClient::new("lab", &[at], "poll").ask_one(at, &Body::GetStatus, Duration::from_millis(60));
        if let Ok(Body::Status(is)) = said {
            let owns = is.owner.filter(|_| is.is_owner).map(|o| o.token.0);
            polls.push(Poll { asked_us, answered_us: began.elapsed().as_micros() as u64, owns });
        }
        std::thread::sleep(Duration::from_millis(4));
    }
    polls
}

/// The whole run: faults by the table, two clients that order, a poll of who owns; then all heals, and the book is asked till every
/// pair has come to its end.
pub fn play(field: &mut Field, table: &[Event], span: Duration, seed: u64) -> Result<Played, String> {
    let over = Arc::new(AtomicBool::new(false));
    let began = Instant::now();
    let (agents, zones) = (field.agents.len(), field.plan.zones.max(1));
    let killed = Mutex::new(BTreeSet::new());
    let polled: Vec<_> = (0..field.keepers.len()).map(|k| field.keeper_at(k)).collect();
    let two: Vec<FleetClient> = (0..2).map(|n| client(field, &format!("c{n}"))).collect();
    let (asked, spans, polls, happened) = std::thread::scope(|scope| {
        let poller = {
            let (over, polled) = (over.clone(), polled);
            scope.spawn(move || poll(&polled, began, &over))
        };
        let clients: Vec<_> = two
            .into_iter()
            .enumerate()
            .map(|(n, client)| {
                let over = over.clone();
                scope.spawn(move || orders(client, n, agents, zones, seed, &over))
            })
            .collect();
        let mut meant = Meant::default();
        let mut happened = Ok(());
        for event in table.iter().filter(|e| u128::from(e.at_ms) < span.as_millis()) {
            let due = Duration::from_millis(event.at_ms);
            std::thread::sleep(due.saturating_sub(began.elapsed()));
            let mut killed = killed.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            happened = happened.and(happen(field, event, &mut meant, &mut killed));
        }
        std::thread::sleep(span.saturating_sub(began.elapsed()));
        let healed = heal(field);
        over.store(true, Ordering::Relaxed);
        let (mut asked, mut spans) = (Vec::new(), Vec::new());
        for one in clients {
            let (some, took) = one.join().unwrap_or_default();
            asked.extend(some);
            spans.extend(took);
        }
        (asked, spans, poller.join().unwrap_or_default(), happened.and(healed))
    });
    happened?;
    let book = book(field)?;
    let mut noted = Vec::new();
    for agent in &field.agents {
        noted.extend(effects(&agent.name, &agent.noted()));
    }
    let owners: BTreeSet<u64> = polls.iter().filter_map(|p| p.owns).collect();
    let killed = killed.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    Ok(Played {
        orders: asked.len(),
        acknowledged: asked.iter().filter(|a| !a.told.is_empty()).count(),
        owners: owners.len(),
        acknowledged_in: spans,
        history: History { effects: noted, asked, book, polls, killed },
    })
}

/// Every order with its pairs, once none is open any more.
pub fn book(field: &Field) -> Result<Vec<notchspool_fleet_protocol::CommandStatus>, String> {
    let mut client = client(field, "judge");
    let mut book = Vec::new();
    let ended = wait("every pair comes to its end", PATIENCE, || {
        let Ok(Body::Commands { commands }) =
            client.ask(&Body::ListCommands { last: 1000 }, Duration::from_secs(2))
        else {
            return false;
        };
        let open = ["queued", "told", "unknown"];
        if commands.iter().any(|o| open.iter().any(|w| o.counts.contains_key(*w))) {
            std::thread::sleep(Duration::from_millis(100));
            return false;
        }
        book.clear();
        for order in commands {
            let revision: Revision = order.revision;
            match client.ask(&Body::GetCommand { revision }, Duration::from_secs(2)) {
                Ok(Body::Commands { commands }) => book.extend(commands),
                _ => return false,
            }
        }
        true
    });
    // What is open then is for the judge to say.
    if ended.is_err()
        && let Ok(Body::Commands { commands }) =
            client.ask(&Body::ListCommands { last: 1000 }, Duration::from_secs(2))
    {
        for order in commands {
            if let Ok(Body::Commands { commands }) =
                client.ask(&Body::GetCommand { revision: order.revision }, Duration::from_secs(2))
            {
                book.extend(commands);
            }
        }
    }
    if book.is_empty() { ended.map(|_| Vec::new()) } else { Ok(book) }
}
