//! Requests with many small headers, through two proxies: real programs.
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

mod support;

use support::mesh::{HOST, Mesh, RouteSpec};
use support::{BOUND, BackendRequest, start_working_backend};

/// The status of the answer to a request with so many headers of its own.
fn request(mesh: &Mesh, headers: usize) -> String {
    let mut stream = TcpStream::connect(mesh.front.outbound_address()).unwrap();
    stream.set_read_timeout(Some(BOUND)).unwrap();
    let own: String = (0..headers).map(|nth| format!("x-{nth}: {nth}\r\n")).collect();
    let head = format!(
        "GET /1/{headers} HTTP/1.1\r\nhost: {HOST}\r\nnotchspool-attempt-id: a-{headers}\r\nconnection: close\r\n{own}\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    let mut answer = String::new();
    // What came before an error counts.
    let _ = stream.read_to_string(&mut answer);
    answer.split(' ').nth(1).unwrap_or_default().to_string()
}

/// Guards against 431 for a request whose headers are within `maxHeaderBytes`, as there are more than a hundred of them.
#[test]
fn headers_within_their_bytes_are_passed_on_however_small_they_are() {
    let seen: Arc<Mutex<Vec<usize>>> = Arc::default();
    let count = seen.clone();
    let work = Arc::new(move |request: &BackendRequest| {
        let own = request.headers.keys().filter(|name| name.starts_with("x-"));
        count.lock().unwrap().push(own.count());
        true
    });
    let route = RouteSpec { prefix: "/1/".into(), kind: "safe", timeout: Duration::from_secs(20) };
    let mesh = Mesh::start_with("127.91.1", 4, &route, |address| start_working_backend(address, work));
    for headers in [90, 130, 250] {
        assert_eq!(request(&mesh, headers), "200", "{headers} headers");
    }
    assert_eq!(*seen.lock().unwrap(), [90, 130, 250]);
    assert_eq!(request(&mesh, 300), "431", "more than 16,384 bytes hold at 64 each");
}
