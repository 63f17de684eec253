//! Clients that leave while their requests are at work or queued at another proxy: real programs.
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

mod support;

use support::mesh::{HOST, Mesh, RouteSpec, SERVICE};
use support::wait_until;

/// The backend's work on each request.
const WORK_MS: u64 = 100;
const CLIENTS: usize = 300;
/// Clients that are there at once.
const AT_ONCE: usize = 20;

/// Guards against requests that stay with the decision module for the life of the process, each in the weights of its backend
/// (`docs/incidents/departed-clients-kept.md`).
#[test]
fn requests_whose_clients_have_left_are_forgotten() {
    let route = RouteSpec { prefix: format!("/{WORK_MS}/"), kind: "safe", timeout: Duration::from_secs(20) };
    let mesh = Mesh::start("127.88.1", 4, &route);
    let to = mesh.front.outbound_address();
    let mut clients = std::collections::VecDeque::new();
    for client in 0..CLIENTS {
        let mut stream = TcpStream::connect(to).unwrap();
        let head = format!(
            "GET /{WORK_MS}/{client} HTTP/1.1\r\nhost: {HOST}\r\nnotchspool-attempt-id: a-{client}\r\nnotchspool-time-left-ms: 20000\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).unwrap();
        std::thread::sleep(Duration::from_millis(2));
        clients.push_back(stream);
        // The others leave, the oldest first, wherever their requests are.
        clients.drain(..clients.len().saturating_sub(AT_ONCE));
    }
    drop(clients);
    let figure = |name: &str| mesh.front.site.figure(name);
    wait_until("all clients are known to have left or are answered", || figure("in_hand") == Some(0));
    assert!(
        figure("clients_left").unwrap() > CLIENTS as u64 / 2,
        "most have left while their requests were out"
    );
    assert_eq!(figure(&format!("requests_open {SERVICE}")), Some(0));
}
