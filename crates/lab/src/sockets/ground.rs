//! Addresses, ports and descriptors: what a run needs of the machine, and a clear word where it is not there.
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use nix::sys::resource::{Resource, getrlimit, setrlimit};

/// Each run in a process takes a block of addresses of its own, and each process begins elsewhere.
static NEXT: AtomicU16 = AtomicU16::new(0);

/// The addresses of one run, all in 127.0.0.0/8.
#[derive(Clone, Copy, Debug)]
pub struct Block {
    second: u8,
}

/// Who stands at an address.
#[derive(Clone, Copy, Debug)]
pub enum Who {
    /// A backend as the agents of a zone see it.
    Backend {
        back: usize,
        zone: usize,
    },
    Agent(usize),
    /// The register as an agent sees it.
    Register(usize),
}

impl Block {
    pub fn take() -> Block {
        let nth = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        Block { second: ((std::process::id().wrapping_mul(7).wrapping_add(nth)) % 230 + 20) as u8 }
    }
    pub fn address(&self, who: Who) -> IpAddr {
        // Backends: four thirds of a byte for each zone; agents and register above them.
        let (third, last) = match who {
            Who::Backend { back, zone } => (zone * 5 + back / 200, back % 200 + 1),
            Who::Agent(n) => (250, n + 1),
            Who::Register(n) => (251, n + 1),
        };
        IpAddr::V4(Ipv4Addr::new(127, self.second, third as u8, last as u8))
    }
}

/// A listener at a port that is free there.
pub fn listen(at: SocketAddr) -> Result<tokio::net::TcpListener, String> {
    let bound = || -> io::Result<tokio::net::TcpListener> {
        let socket = socket2::Socket::new(socket2::Domain::for_address(at), socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&at.into())?;
        socket.listen(1024)?;
        tokio::net::TcpListener::from_std(socket.into())
    };
    bound().map_err(|e| match e.kind() {
        io::ErrorKind::AddrInUse => format!("{at}: the port is in use; end what listens there, or run again"),
        _ if e.raw_os_error() == Some(nix::libc::EMFILE) => {
            format!("{at}: no descriptor left; raise the limit (`ulimit -n`) or take fewer backends")
        }
        _ => format!("{at}: {e}"),
    })
}

/// A port that is free at an address that nothing else uses.
pub fn free(ip: IpAddr) -> Result<SocketAddr, String> {
    let found = TcpListener::bind((ip, 0)).and_then(|l| l.local_addr());
    found.map_err(|e| format!("{ip}: no free port: {e}"))
}

/// Raises the soft limit on descriptors as far as `wanted`; an error says what is missing.
pub fn descriptors(wanted: u64) -> Result<(), String> {
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).map_err(|e| e.to_string())?;
    if soft >= wanted {
        return Ok(());
    }
    if hard < wanted {
        return Err(format!(
            "the run wants about {wanted} descriptors, and this user may have {hard}; raise the hard limit or \
             take fewer backends, zones or clients"
        ));
    }
    setrlimit(Resource::RLIMIT_NOFILE, wanted, hard).map_err(|e| format!("{wanted} descriptors: {e}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_port_in_use_is_named() {
        let held = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = held.local_addr().expect("its address");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().expect("a runtime");
        let _in = runtime.enter();
        let wrong = listen(at).expect_err("it is taken");
        assert!(wrong.contains(&at.to_string()) && wrong.contains("in use"), "{wrong}");
    }

    #[test]
    fn descriptors_that_can_not_be_had_are_told() {
        let (_, hard) = getrlimit(Resource::RLIMIT_NOFILE).expect("a limit");
        if hard < u64::MAX - 1 {
            let wrong = descriptors(hard + 1).expect_err("there are not so many");
            assert!(wrong.contains(&hard.to_string()), "{wrong}");
        }
        assert_eq!(descriptors(16), Ok(()));
    }
}
