//! The processes of a cluster: their addresses, of a loopback block that one run alone has, their files, and the relays between them.
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};
use std::time::Duration;

use super::process::{Process, wait};
use super::relay::{LinkFaults, Relay};

/// What a cluster is made of.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// The program that is run, `notchspool`.
    pub program: PathBuf,
    /// How many controllers.
    pub controllers: usize,
    /// How many agents.
    pub agents: usize,
    /// How many zones the agents are spread over.
    pub zones: usize,
    /// Lease of the owner, in milliseconds.
    pub lease_ms: u64,
    /// Lease of an instance, in milliseconds.
    pub instance_lease_ms: u64,
    /// Relays between all; else the processes connect directly.
    pub relays: bool,
    /// Where files are written.
    pub folder: PathBuf,
    /// Of the relays' randomness.
    pub seed: u64,
}

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    /// A controller, from 0.
    Controller(usize),
    /// An agent, from 0.
    Agent(usize),
    /// Whoever submits commands, from outside.
    Client,
}

/// Controllers and agents as processes, and the links between them.
pub struct Cluster {
    /// What it is made of.
    pub plan: ClusterPlan,
    block: u8,
    /// Held as long as the run lasts: nobody else takes this block.
    _claim: TcpListener,
    /// The controllers.
    pub controllers: Vec<Process>,
    /// The agents.
    pub agents: Vec<Process>,
    links: BTreeMap<(Node, usize), Relay>,
    runtime: tokio::runtime::Runtime,
}

/// Blocks of loopback addresses that clusters may use.
const FIRST_BLOCK: u8 = 30;
const BLOCKS: u8 = 200;
const CONTROLLER_PORT: u16 = 7001;
const AGENT_PORT: u16 = 8080;
const BACKEND_PORT: u16 = 9000;
/// Descriptors of this process for the relays of each agent, of each controller, and for all else.
const DESCRIPTORS_PER_AGENT: usize = 12;
const DESCRIPTORS_PER_CONTROLLER: usize = 60;
const SPARE_DESCRIPTORS: usize = 400;
/// How long a process may take to listen.
const START_TIMEOUT: Duration = Duration::from_secs(20);

impl Cluster {
    /// Writes the files and opens the relays; no process runs yet.
    ///
    /// # Errors
    /// No block of addresses is free, or a file or relay can't be made.
    pub fn create(plan: ClusterPlan) -> Result<Cluster, String> {
        let (block, claim) = claim_block()?;
        std::fs::create_dir_all(&plan.folder)
            .map_err(|error| format!("{}: {error}", plan.folder.display()))?;
        let folder =
            plan.folder.canonicalize().map_err(|error| format!("{}: {error}", plan.folder.display()))?;
        let plan = ClusterPlan { folder, ..plan };
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let runtime = runtime.map_err(|error| error.to_string())?;
        let mut cluster = Cluster {
            plan,
            block,
            _claim: claim,
            controllers: Vec::new(),
            agents: Vec::new(),
            links: BTreeMap::new(),
            runtime,
        };
        let wanted = cluster.plan.agents * DESCRIPTORS_PER_AGENT
            + cluster.plan.controllers * DESCRIPTORS_PER_CONTROLLER
            + SPARE_DESCRIPTORS;
        crate::sockets::loopback::raise_descriptor_limit(wanted as u64)?;
        if cluster.plan.relays {
            cluster.open_relays()?;
        }
        for n in 0..cluster.plan.controllers {
            let controller = cluster.controller(n)?;
            cluster.controllers.push(controller);
        }
        for n in 0..cluster.plan.agents {
            let agent = cluster.agent(n)?;
            cluster.agents.push(agent);
        }
        Ok(cluster)
    }

    fn address(&self, third: usize, last: usize, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.block, third as u8, last as u8], port))
    }

    /// Where a controller listens.
    pub fn controller_address(&self, n: usize) -> SocketAddr {
        self.address(1, n + 1, CONTROLLER_PORT)
    }

    /// Where an agent listens for clients.
    pub fn agent_address(&self, n: usize) -> SocketAddr {
        self.address(2 + n / 200, n % 200 + 1, AGENT_PORT)
    }

    /// Where `from` connects to reach a controller.
    pub fn address_seen_by(&self, from: Node, controller: usize) -> SocketAddr {
        match from {
            _ if !self.plan.relays => self.controller_address(controller),
            Node::Controller(own) if own == controller => self.controller_address(controller),
            Node::Controller(own) => self.address(10 + own, controller + 1, CONTROLLER_PORT),
            Node::Agent(n) => self.address(20 + controller * 10 + n / 200, n % 200 + 1, CONTROLLER_PORT),
            Node::Client => self.address(9, controller + 1, CONTROLLER_PORT),
        }
    }

    /// Where `from` connects to reach each controller.
    pub fn addresses_seen_by(&self, from: Node) -> Vec<SocketAddr> {
        (0..self.plan.controllers).map(|controller| self.address_seen_by(from, controller)).collect()
    }

    fn open_relays(&mut self) -> Result<(), String> {
        let (controllers, agents) = (self.plan.controllers, self.plan.agents);
        let ends =
            (0..controllers).map(Node::Controller).chain((0..agents).map(Node::Agent)).chain([Node::Client]);
        let _in = self.runtime.enter();
        let mut links = BTreeMap::new();
        for (nth, from) in ends.enumerate() {
            for controller in (0..controllers).filter(|controller| from != Node::Controller(*controller)) {
                let seed =
                    self.plan.seed.wrapping_mul(1_000_003).wrapping_add((nth * 8 + controller) as u64 * 64);
                let relay = Relay::open(
                    self.address_seen_by(from, controller),
                    self.controller_address(controller),
                    seed,
                )?;
                links.insert((from, controller), relay);
            }
        }
        self.links = links;
        Ok(())
    }

    /// Changes the link from a node to a controller.
    pub fn set_link(&self, from: Node, controller: usize, change: impl FnOnce(&mut LinkFaults)) {
        if let Some(relay) = self.links.get(&(from, controller)) {
            relay.set(change);
        }
    }

    /// Changes all links to and from a node.
    pub fn set_links_of(&self, node: Node, change: impl Fn(&mut LinkFaults)) {
        for ((from, controller), relay) in &self.links {
            if *from == node || Node::Controller(*controller) == node {
                relay.set(&change);
            }
        }
    }

    /// Changes every link.
    pub fn set_all_links(&self, change: impl Fn(&mut LinkFaults)) {
        self.links.values().for_each(|relay| relay.set(&change));
    }

    /// The zone of an agent.
    pub fn zone(&self, agent: usize) -> String {
        format!("z{}", agent % self.plan.zones.max(1))
    }

    fn quoted_list(addresses: &[SocketAddr]) -> String {
        addresses.iter().map(|address| format!("\"{address}\"")).collect::<Vec<_>>().join(", ")
    }

    fn controller(&self, n: usize) -> Result<Process, String> {
        let (plan, name) = (&self.plan, format!("k{}", n + 1));
        let folder = plan.folder.join(&name);
        let text = format!(
            "fleet = \"lab\"\nname = \"{name}\"\nlisten = \"{}\"\nstate = \"{}\"\nvoters = [{}]\nplace = {}\n\
             lease_ms = {}\n[instances]\nlease_ms = {}\nwindow_ms = 2000\nhold_ms = 10000\n[waves]\npart = 1.0\n",
            self.controller_address(n),
            folder.display(),
            Cluster::quoted_list(&self.addresses_seen_by(Node::Controller(n))),
            n + 1,
            plan.lease_ms,
            plan.instance_lease_ms,
        );
        let file = plan.folder.join(format!("{name}.toml"));
        std::fs::write(&file, text).map_err(|error| format!("{}: {error}", file.display()))?;
        let file = file.display().to_string();
        Ok(Process::new(&name, &plan.program, &["keeper", &file], &folder))
    }

    fn agent(&self, n: usize) -> Result<Process, String> {
        let (plan, name) = (&self.plan, format!("a{n}"));
        let folder = plan.folder.join(&name);
        let mut text = format!(
            "name = \"{name}\"\nzone = \"{}\"\n[limits]\nmemory_mb = 16\ndescriptors = 256\n[[listen]]\nname = \"main\"\n\
             at = \"{}\"\n",
            self.zone(n),
            self.agent_address(n)
        );
        let _ = write!(
            text,
            "[[scheme]]\nname = \"look\"\nkind = \"repeatable\"\nsla_ms = 500.0\nexpiry_ms = 1500.0\n[[pool]]\nname = \"p\"\n\
             members = [{{ at = \"{}\" }}]\n[[route]]\nname = \"r\"\nprefix = \"/\"\nscheme = \"look\"\npool = \"p\"\n\
             [fleet]\nname = \"lab\"\nkeepers = [{}]\nstate = \"{}\"\n",
            self.backend_address(),
            Cluster::quoted_list(&self.addresses_seen_by(Node::Agent(n))),
            folder.display()
        );
        let file = plan.folder.join(format!("{name}.toml"));
        std::fs::write(&file, text).map_err(|error| format!("{}: {error}", file.display()))?;
        let file = file.display().to_string();
        Ok(Process::new(&name, &plan.program, &["run", &file], &folder))
    }

    /// Where the agents expect their one backend.
    pub fn backend_address(&self) -> SocketAddr {
        self.address(250, 1, BACKEND_PORT)
    }

    /// Starts the controllers of a new fleet, then the agents, and returns when each listens.
    ///
    /// # Errors
    /// A process does not listen in time, or ended.
    pub fn start(&mut self) -> Result<(), String> {
        for controller in &mut self.controllers {
            controller.start(&["--first"])?;
        }
        for n in 0..self.controllers.len() {
            let address = self.controller_address(n);
            wait(&format!("keeper {} listens", n + 1), START_TIMEOUT, || {
                std::net::TcpStream::connect(address).is_ok()
            })?;
        }
        for agent in &mut self.agents {
            agent.start(&[])?;
        }
        for n in 0..self.agents.len() {
            self.wait_for_agent(n)?;
        }
        for process in self.controllers.iter_mut().chain(&mut self.agents) {
            if let Some(code) = process.exit_code() {
                return Err(format!(
                    "{} ended at its start with {code:?}; see {}",
                    process.name,
                    process.log.display()
                ));
            }
        }
        Ok(())
    }

    /// Waits until an agent listens.
    ///
    /// # Errors
    /// It does not in time.
    pub fn wait_for_agent(&self, n: usize) -> Result<(), String> {
        let address = self.agent_address(n);
        wait(&format!("agent a{n} listens"), START_TIMEOUT, || std::net::TcpStream::connect(address).is_ok())
            .map(|_| ())
    }

    /// Whether an agent accepts clients, as its own front says; nothing where it does not answer.
    pub fn accepts_clients(&self, n: usize) -> Option<bool> {
        use std::io::{Read, Write};
        let mut io =
            std::net::TcpStream::connect_timeout(&self.agent_address(n), Duration::from_secs(1)).ok()?;
        io.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        io.write_all(b"GET /-/healthz HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n").ok()?;
        let mut response = String::new();
        let _ = io.read_to_string(&mut response);
        Some(response.starts_with("HTTP/1.1 200"))
    }
}

/// A block of loopback addresses (127.BLOCK.0.0/16) that is free, and the listener that claims it. A process uses each block once: what one
/// test left listening must not be taken for a controller of the next one.
fn claim_block() -> Result<(u8, TcpListener), String> {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let first = ((std::process::id() * 29) % u32::from(BLOCKS)) as u8;
    let first = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
    let claim = |block: u8| {
        let address = SocketAddr::from(([127, block, 255, 254], CONTROLLER_PORT));
        Some((block, TcpListener::bind(address).ok()?))
    };
    (0..BLOCKS)
        .map(|nth| (first.wrapping_add(nth) % BLOCKS) + FIRST_BLOCK)
        .find_map(claim)
        .ok_or_else(|| "no block of loopback addresses is free".to_owned())
}

/// A folder for a run that no folder was named for.
pub fn temporary_folder(name: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let nth = NEXT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("notchspool-field-{}-{nth}-{name}", std::process::id()))
}

/// Removes what a run left.
pub fn remove_folder(folder: &Path) {
    let _ = std::fs::remove_dir_all(folder);
}
