//! What `[fleet]` costs an agent's requests: two agents beside each other, one with the table and one without, in turn.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Serves as a backend that answers at once, as long as the process lives.
///
/// # Errors
/// The address can't be bound.
pub fn backend(at: SocketAddr) -> Result<(), String> {
    let listener = TcpListener::bind(at).map_err(|e| format!("{at}: {e}"))?;
    std::thread::spawn(move || {
        for io in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let _ = io.set_nodelay(true);
                let Ok(mut write) = io.try_clone() else { return };
                let mut lines = BufReader::new(io).lines();
                while let Some(Ok(line)) = lines.next() {
                    if line.is_empty()
                        && write.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n").is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

/// One persistent connection to an agent.
pub struct RequestClient(TcpStream);

impl RequestClient {
    /// Connects.
    ///
    /// # Errors
    /// It can't.
    pub fn open(at: SocketAddr) -> Result<RequestClient, String> {
        let io = TcpStream::connect(at).map_err(|e| format!("{at}: {e}"))?;
        let _ = (io.set_nodelay(true), io.set_read_timeout(Some(Duration::from_secs(5))));
        Ok(RequestClient(io))
    }

    /// Sends a request, and says how long it took; nothing where it did not succeed.
    pub fn request(&mut self) -> Option<Duration> {
        let began = Instant::now();
        self.0.write_all(b"GET /r HTTP/1.1\r\nHost: lab\r\n\r\n").ok()?;
        let (mut response, mut buf) = (Vec::new(), [0; 1024]);
        while !response.ends_with(b"ok\n") {
            let n = self.0.read(&mut buf).ok()?;
            if n == 0 {
                return None;
            }
            response.extend_from_slice(&buf[..n]);
        }
        response.starts_with(b"HTTP/1.1 200").then(|| began.elapsed())
    }
}

/// Median and 99th percentile.
#[derive(Clone, Copy, Debug)]
pub struct LatencySummary {
    /// The median.
    pub median: Duration,
    /// The 99th percentile.
    pub p99: Duration,
}

/// Requests of each that are not counted, at the start.
const WARM_UP_REQUESTS: usize = 200;

/// The latencies of `requests` each, in turn: first with `[fleet]`, then without.
///
/// # Errors
/// An agent can't be reached, or a request failed.
pub fn compare(
    with: SocketAddr,
    without: SocketAddr,
    requests: usize,
) -> Result<[LatencySummary; 2], String> {
    let mut callers = [RequestClient::open(with)?, RequestClient::open(without)?];
    let mut latencies = [Vec::with_capacity(requests), Vec::with_capacity(requests)];
    for nth in 0..requests + WARM_UP_REQUESTS {
        for (caller, latencies) in callers.iter_mut().zip(&mut latencies) {
            let span = caller.request().ok_or("a request did not succeed")?;
            if nth >= WARM_UP_REQUESTS {
                latencies.push(span);
            }
        }
    }
    Ok(latencies.map(|mut spans| {
        spans.sort_unstable();
        LatencySummary { median: spans[spans.len() / 2], p99: spans[spans.len() * 99 / 100] }
    }))
}
