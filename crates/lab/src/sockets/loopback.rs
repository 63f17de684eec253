//! Loopback addresses, ports and descriptors: what a run needs of the machine, with an error that says what is missing.
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use nix::sys::resource::{Resource, getrlimit, setrlimit};

/// Each run in a process takes a block of addresses of its own, and each process begins elsewhere.
static NEXT: AtomicU16 = AtomicU16::new(0);
/// The first block, and how many there are.
const FIRST_BLOCK: u32 = 20;
const BLOCKS: u32 = 230;
/// Backends to a third byte of an address, and third bytes to a zone.
const BACKENDS_PER_BYTE: usize = 200;
const BYTES_PER_ZONE: usize = 5;
/// Third bytes of agents and registries.
const AGENTS: usize = 250;
const REGISTRIES: usize = 251;
/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// The addresses of one run, all in 127.0.0.0/8.
#[derive(Clone, Copy, Debug)]
pub struct AddressBlock {
    second: u8,
}

/// Who listens at an address.
#[derive(Clone, Copy, Debug)]
pub enum Host {
    /// A backend as the agents of a zone see it.
    Backend {
        /// The backend.
        backend: usize,
        /// The zone of the agents.
        zone: usize,
    },
    /// An agent.
    Agent(usize),
    /// The registry as an agent sees it.
    Registry(usize),
}

impl AddressBlock {
    /// A block that no other run of this process has.
    pub fn take() -> AddressBlock {
        let nth = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let block = std::process::id().wrapping_mul(7).wrapping_add(nth) % BLOCKS;
        AddressBlock { second: (block + FIRST_BLOCK) as u8 }
    }

    /// The address of a host.
    pub fn address(&self, host: Host) -> IpAddr {
        let (third, last) = match host {
            Host::Backend { backend, zone } => {
                (zone * BYTES_PER_ZONE + backend / BACKENDS_PER_BYTE, backend % BACKENDS_PER_BYTE + 1)
            }
            Host::Agent(index) => (AGENTS, index + 1),
            Host::Registry(index) => (REGISTRIES, index + 1),
        };
        IpAddr::V4(Ipv4Addr::new(127, self.second, third as u8, last as u8))
    }
}

/// Listens at an address.
///
/// # Errors
/// The port is in use, or no descriptor is left.
pub fn listen(at: SocketAddr) -> Result<tokio::net::TcpListener, String> {
    let bound = || -> io::Result<tokio::net::TcpListener> {
        let socket = socket2::Socket::new(socket2::Domain::for_address(at), socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&at.into())?;
        socket.listen(BACKLOG)?;
        tokio::net::TcpListener::from_std(socket.into())
    };
    bound().map_err(|error| match error.kind() {
        io::ErrorKind::AddrInUse => format!("{at}: the port is in use; end what listens there, or run again"),
        _ if error.raw_os_error() == Some(nix::libc::EMFILE) => {
            format!("{at}: no descriptor left; raise the limit (`ulimit -n`) or take fewer backends")
        }
        _ => format!("{at}: {error}"),
    })
}

/// A port that is free at an address that nothing else uses.
///
/// # Errors
/// There is none.
pub fn free_port(ip: IpAddr) -> Result<SocketAddr, String> {
    let found = TcpListener::bind((ip, 0)).and_then(|listener| listener.local_addr());
    found.map_err(|error| format!("{ip}: no free port: {error}"))
}

/// Raises the soft limit on descriptors as far as `wanted`.
///
/// # Errors
/// The hard limit is lower.
pub fn raise_descriptor_limit(wanted: u64) -> Result<(), String> {
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).map_err(|error| error.to_string())?;
    if soft >= wanted {
        return Ok(());
    }
    if hard < wanted {
        return Err(format!(
            "the run wants about {wanted} descriptors, and this user may have {hard}; raise the hard limit or \
             take fewer backends, zones or clients"
        ));
    }
    setrlimit(Resource::RLIMIT_NOFILE, wanted, hard).map_err(|error| format!("{wanted} descriptors: {error}"))
}
