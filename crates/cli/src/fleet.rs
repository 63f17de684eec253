//! `notchspool keeper` and `notchspool fleet ...`. Exit codes: 0 all is as asked; 1 it was taken and is not so everywhere; 2 it was not
//! taken, or nobody could be asked.
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use clap::{Args, Subcommand};
use notchspool_command_controller::office::word;
use notchspool_commands::CommandKind;
use notchspool_commands::Revision;
use notchspool_commands::command_log::CommandState;
use notchspool_fleet_controller::{Hold, Start, file};
use notchspool_fleet_protocol::client::Client;
use notchspool_fleet_protocol::{Body, Instance, Order, Ordered, Whom};

#[derive(Args)]
pub struct Keep {
    file: PathBuf,
    /// The fleet is new: its voters begin with empty disks. Without it a voter that finds no disk takes it for lost.
    #[arg(long)]
    first: bool,
    /// Only reads the file and names every mistake in it.
    #[arg(long)]
    check: bool,
    /// Tests: stops itself at the nth passing of a point.
    #[arg(long, hide = true)]
    hold_at: Option<Hold>,
}

pub fn keep(asked: Keep) -> Result<ExitCode, String> {
    notchspool_agent::base::logger::start();
    let told = match file::told(&asked.file) {
        Ok(told) => told,
        Err(wrong) => {
            eprintln!("{wrong}");
            return Ok(ExitCode::from(2));
        }
    };
    if asked.check {
        println!("{}: sound: keeper {} of {}", asked.file.display(), told.place + 1, told.voters.len());
        return Ok(ExitCode::SUCCESS);
    }
    Ok(notchspool_fleet_controller::run(told, Start { first: asked.first, hold: asked.hold_at }))
}

#[derive(Args)]
pub struct Fleet {
    /// A keeper's file or an agent's: from it come the fleet's name and its keepers.
    #[arg(long, short, global = true, env = "NOTCHSPOOL_FLEET", default_value = "keeper.toml")]
    file: PathBuf,
    /// One line of JSON instead of a table.
    #[arg(long, global = true)]
    json: bool,
    /// How long keepers are asked, in milliseconds.
    #[arg(long, global = true, default_value_t = 10_000)]
    patience_ms: u64,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// All instances: where they stand, what they serve, the list they route by.
    Ls,
    /// One instance, or one order by its revision.
    Show { what: String },
    /// Sends clients away from instances.
    Drain(Do),
    /// Lets clients come to them again.
    Undrain(Do),
    /// Has them read their files again.
    Reload(Do),
    /// Ends them in order.
    Stop(Do),
    /// The last orders, and how many instances stand where with each.
    Orders {
        #[arg(long, default_value_t = 20)]
        last: usize,
    },
    /// `ls` again and again.
    Watch {
        #[arg(long, default_value_t = 1_000)]
        every_ms: u64,
        /// Ends after so many; 0: never.
        #[arg(long, default_value_t = 0)]
        times: u64,
    },
    /// Who owns the fleet's orders, and how each keeper is.
    Owner {
        /// The owner lets go, and another keeper takes over.
        #[arg(long)]
        let_go: bool,
    },
}

#[derive(Args)]
struct Do {
    /// Names of instances; `edge-*` means all whose names begin so.
    names: Vec<String>,
    /// Only those in this zone; may be given again.
    #[arg(long)]
    zone: Vec<String>,
    /// All there are.
    #[arg(long)]
    all: bool,
    /// It fails where it is not done by then, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    within_ms: u64,
    /// Out at once at the most, of each zone and of all: 0.25 is a quarter. By default what the keepers' files say.
    #[arg(long)]
    part: Option<f64>,
    /// Only if this is the last revision of its kind at all who are meant.
    #[arg(long)]
    on: Option<u64>,
    /// Of the order; given again, it is the same order. By default drawn anew.
    #[arg(long)]
    id: Option<String>,
    /// Waits till it is at its end everywhere.
    #[arg(long)]
    wait: bool,
    /// Who orders, for the book.
    #[arg(long, env = "USER", default_value = "operator")]
    author: String,
}

/// Fleet and keepers, from either kind of file.
fn client(path: &Path) -> Result<Client, String> {
    let name = "cli";
    let keeper = file::told(path);
    if let Ok(told) = &keeper {
        return Ok(Client::new(&told.fleet, &told.voters, name));
    }
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let house = notchspool_settings::file::read(&path.display().to_string(), &text);
    match (house, keeper) {
        (Ok(house), _) => match house.fleet {
            Some(fleet) => Ok(Client::new(&fleet.name, &fleet.keepers, name)),
            None => Err(format!("{}: it has no [fleet]", path.display())),
        },
        // An agent's file has listeners; else it was to be a keeper's.
        (Err(wrong), Err(_)) if text.contains("[[listen]]") => {
            Err(wrong.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
        }
        (_, Err(wrong)) => Err(wrong),
        (_, Ok(_)) => Err("unreadable".into()),
    }
}

struct Asker {
    client: Client,
    json: bool,
    within: Duration,
}

pub fn run(asked: Fleet) -> Result<ExitCode, String> {
    let within = Duration::from_millis(asked.patience_ms);
    let mut asker = Asker { client: client(&asked.file)?, json: asked.json, within };
    match asked.what {
        What::Ls => asker.list().map(|()| ExitCode::SUCCESS),
        What::Show { what } => asker.show(&what),
        What::Drain(to) => asker.order(CommandKind::Drain, to),
        What::Undrain(to) => asker.order(CommandKind::Undrain, to),
        What::Reload(to) => asker.order(CommandKind::Reload, to),
        What::Stop(to) => asker.order(CommandKind::Stop, to),
        What::Orders { last } => asker.orders(last),
        What::Watch { every_ms, times } => {
            for nth in 1.. {
                asker.list()?;
                if nth == times {
                    break;
                }
                std::thread::sleep(Duration::from_millis(every_ms));
            }
            Ok(ExitCode::SUCCESS)
        }
        What::Owner { let_go } => asker.owner(let_go),
    }
}

fn json<T: serde::Serialize>(value: &T) {
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}

fn act(act: CommandKind) -> &'static str {
    match act {
        CommandKind::Drain => "drain",
        CommandKind::Undrain => "undrain",
        CommandKind::Reload => "reload",
        CommandKind::Stop => "stop",
    }
}

/// A word for an instance's service by the last order on it.
fn service(instance: &Instance) -> String {
    match &instance.service {
        None if instance.report.away => "away".into(),
        None => "-".into(),
        Some((revision, to, state)) => format!("{} {} ({})", act(*to), word(state), revision.0),
    }
}

fn about(us: Option<i64>) -> String {
    match us {
        None => "-".into(),
        Some(us) if us < 10_000_000 => format!("{:.1} s", us as f64 / 1e6),
        Some(us) => format!("{} s", us / 1_000_000),
    }
}

impl Asker {
    fn ask(&mut self, body: &Body) -> Result<Body, String> {
        match self.client.ask(body, self.within)? {
            Body::Refused { why } => Err(why),
            body => Ok(body),
        }
    }

    fn instances(&mut self) -> Result<Vec<Instance>, String> {
        match self.ask(&Body::Instances)? {
            Body::InstancesAre { instances, .. } => Ok(instances),
            other => Err(format!("an answer that does not fit: {other:?}")),
        }
    }

    fn list(&mut self) -> Result<(), String> {
        let instances = self.instances()?;
        if self.json {
            json(&instances);
            return Ok(());
        }
        println!(
            "{:<20} {:<8} {:>5} {:<5} {:>7} {:>7} {:>6} {:<22}",
            "INSTANCE", "ZONE", "EPOCH", "IS", "HEARD", "IN HAND", "LIST", "SERVICE"
        );
        for i in &instances {
            println!(
                "{:<20} {:<8} {:>5} {:<5} {:>7} {:>7} {:>6} {:<22}",
                i.name,
                i.zone,
                i.epoch.0,
                i.standing,
                about(i.heard_us),
                i.report.in_hand,
                i.report.list,
                service(i)
            );
        }
        let held = instances.iter().filter(|i| i.standing == "held").count();
        let gone = instances.iter().filter(|i| i.standing == "gone").count();
        println!("{} instances, {held} held, {gone} gone", instances.len());
        Ok(())
    }

    fn show(&mut self, what: &str) -> Result<ExitCode, String> {
        if let Ok(revision) = what.parse() {
            let Some(ordered) = self.look(Revision(revision))? else {
                return Err(format!("no order {revision}; `fleet orders` lists those there are"));
            };
            self.print(&ordered);
            return Ok(ExitCode::SUCCESS);
        }
        let instances = self.instances()?;
        let Some(instance) = instances.iter().find(|i| i.name == what) else {
            return Err(format!("no instance `{what}`; `fleet ls` lists those there are"));
        };
        if self.json {
            json(instance);
        } else {
            let r = &instance.report;
            println!("{} in zone `{}`, instance {}", instance.name, instance.zone, instance.id.0);
            println!(
                "is {}, epoch {}, heard {} ago",
                instance.standing,
                instance.epoch.0,
                about(instance.heard_us)
            );
            println!("program {}, routes by list {}, has seen token {}", r.program, r.list, r.seen.0);
            println!("settled {}, other {}, in hand {}", r.settled, r.other, r.in_hand);
            println!("service: {}{}", service(instance), if r.away { "; clients are sent away" } else { "" });
        }
        Ok(ExitCode::SUCCESS)
    }

    fn look(&mut self, revision: Revision) -> Result<Option<Ordered>, String> {
        match self.ask(&Body::Look { revision })? {
            Body::OrdersAre { orders } => Ok(orders.into_iter().next()),
            other => Err(format!("an answer that does not fit: {other:?}")),
        }
    }

    fn print(&self, ordered: &Ordered) {
        if self.json {
            return json(ordered);
        }
        let o = ordered;
        println!(
            "order {} ({}): {} by {}, at most {} out at once",
            o.revision.0,
            o.id,
            act(o.act),
            o.author,
            o.part
        );
        println!(
            "{}",
            if o.left_us > 0 {
                format!("fails in {}", about(Some(o.left_us)))
            } else {
                "its time is over".into()
            }
        );
        if let Some(why) = &o.halted {
            println!("HALTED: {why}");
        }
        let counts: Vec<String> = o.counts.iter().map(|(w, n)| format!("{n} {w}")).collect();
        println!("{}", counts.join(", "));
        for (name, state) in &o.states {
            let more = match state {
                CommandState::Refused(why) => format!(": {why}"),
                CommandState::Superseded(by) => format!(" by {}", by.0),
                _ => String::new(),
            };
            println!("  {name:<20} {}{more}", word(state));
        }
    }

    fn orders(&mut self, last: usize) -> Result<ExitCode, String> {
        let Body::OrdersAre { orders } = self.ask(&Body::Orders { last })? else {
            return Err("an answer that does not fit".into());
        };
        if self.json {
            json(&orders);
            return Ok(ExitCode::SUCCESS);
        }
        println!("{:>8} {:<8} {:<12} {:<16} STANDS", "REVISION", "ACT", "BY", "ID");
        for o in &orders {
            let counts: Vec<String> = o.counts.iter().map(|(w, n)| format!("{n} {w}")).collect();
            let halted = if o.halted.is_some() { "; HALTED" } else { "" };
            println!(
                "{:>8} {:<8} {:<12} {:<16} {}{halted}",
                o.revision.0,
                act(o.act),
                o.author,
                o.id,
                counts.join(", ")
            );
        }
        Ok(ExitCode::SUCCESS)
    }

    fn order(&mut self, what: CommandKind, to: Do) -> Result<ExitCode, String> {
        if to.names.is_empty() && to.zone.is_empty() && !to.all {
            return Err("whom? names, --zone or --all".into());
        }
        // Drawn once: however often it is asked again, it is this order.
        let drawn = || {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            format!("{:x}-{:x}", now.as_nanos() as u64, std::process::id())
        };
        let order = Order {
            id: to.id.unwrap_or_else(drawn),
            author: to.author,
            act: what,
            whom: Whom { names: to.names, zones: to.zone, all: to.all },
            within_us: (to.within_ms.clamp(1, 3_600_000) * 1000) as i64,
            part: to.part,
            on: to.on.map(Revision),
        };
        let until = Instant::now() + Duration::from_millis(to.within_ms) + self.within;
        let Body::Taken { revision, whom } = self.ask(&Body::Order(order))? else {
            return Err("an answer that does not fit".into());
        };
        if !to.wait {
            if self.json {
                json(&serde_json::json!({"revision": revision.0, "whom": whom}));
            } else {
                println!(
                    "order {} for {whom} instances; `fleet show {}` says where it stands",
                    revision.0, revision.0
                );
            }
            return Ok(ExitCode::SUCCESS);
        }
        let mut last = String::new();
        loop {
            let ordered = match self.look(revision) {
                Ok(Some(ordered)) => ordered,
                Ok(None) => return Err(format!("order {} is no longer kept", revision.0)),
                Err(why) if Instant::now() >= until => return Err(why),
                Err(_) => continue,
            };
            let open: usize =
                ["queued", "told", "unknown"].iter().filter_map(|w| ordered.counts.get(*w)).sum();
            let line = format!("order {}: {} of {whom} at their end", revision.0, whom - open.min(whom));
            if line != last && !self.json {
                eprintln!("{line}");
                last = line;
            }
            if open == 0 || Instant::now() >= until {
                self.print(&ordered);
                let applied = ordered.counts.get("applied").copied().unwrap_or_default();
                return Ok(if applied == whom { ExitCode::SUCCESS } else { ExitCode::from(1) });
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    fn owner(&mut self, let_go: bool) -> Result<ExitCode, String> {
        if let_go {
            self.ask(&Body::LetGo)?;
        }
        let keepers: Vec<SocketAddr> = self.client.keepers.clone();
        let mut all = Vec::new();
        for at in keepers {
            let said = self.client.ask_at(at, &Body::Owner, Duration::from_secs(1));
            all.push((
                at,
                said.and_then(|body| match body {
                    Body::OwnerIs(keeper) => Ok(keeper),
                    Body::Refused { why } => Err(why),
                    other => Err(format!("{other:?}")),
                }),
            ));
        }
        let owner = all.iter().filter_map(|(_, k)| k.as_ref().ok()).find(|k| k.owns).cloned();
        if self.json {
            let row = |(at, k): &(SocketAddr, Result<_, String>)| match k {
                Ok(keeper) => serde_json::json!({"at": at.to_string(), "keeper": keeper}),
                Err(why) => serde_json::json!({"at": at.to_string(), "error": why}),
            };
            json(&all.iter().map(row).collect::<Vec<_>>());
        } else {
            println!(
                "{:<22} {:<12} {:<6} {:>9} {:>8} REFUSED",
                "KEEPER", "NAME", "VOTER", "INSTANCES", "WRITES"
            );
            for (at, keeper) in &all {
                match keeper {
                    Ok(k) => {
                        let refused: Vec<String> =
                            k.refused.iter().map(|(w, n)| format!("{n} {w}")).collect();
                        let owns = if k.owns { " (owns)" } else { "" };
                        println!(
                            "{:<22} {:<12} {:<6} {:>9} {:>8} {}",
                            at.to_string(),
                            format!("{}{owns}", k.name),
                            k.voter,
                            k.instances,
                            k.writes,
                            refused.join(", ")
                        );
                    }
                    Err(why) => println!("{:<22} {why}", at.to_string()),
                }
            }
            match &owner {
                Some(k) => {
                    let token = k.owner.as_ref().map_or(0, |o| o.2.0);
                    println!("{} owns the orders, under token {token}", k.name);
                }
                None => println!("nobody owns the orders now"),
            }
        }
        Ok(if owner.is_some() { ExitCode::SUCCESS } else { ExitCode::from(1) })
    }
}
