//! A client finds the owner, whatever the controllers that are none say of where it is.
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use notchspool_fleet_protocol::client::FleetClient;
use notchspool_fleet_protocol::{Body, Message};
use rstest::rstest;

const PATIENCE: Duration = Duration::from_secs(10);

/// A controller that answers one question a connection: the owner with its commands, another with the place that it last heard of.
fn controller(owns: bool, names: Option<u16>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a place");
    let at = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        for mut io in listener.incoming().flatten() {
            let mut line = String::new();
            let _ = io.set_read_timeout(Some(PATIENCE));
            let _ = io.try_clone().map(|io| BufReader::new(io).read_line(&mut line));
            let Ok(message) = Message::decode(line.as_bytes(), "lab") else { continue };
            let body = if owns {
                Body::Commands { commands: vec![] }
            } else {
                Body::NotOwner { owner_index: names }
            };
            let _ = io.write_all(Message::new("lab", "controller", message.number, body).encode().as_bytes());
        }
    });
    at
}

#[rstest]
#[case::as_it_was_met([None, None, Some(0), None, None], 4)]
#[case::two_that_name_each_other([Some(1), Some(0), None, None, None], 4)]
#[case::a_ring_of_all_others([Some(1), Some(2), Some(3), Some(0), None], 4)]
#[case::all_back_to_the_first([Some(2), Some(0), Some(0), None, Some(0)], 3)]
#[case::a_place_that_there_is_not([Some(9), Some(9), Some(9), Some(9), Some(9)], 4)]
fn an_owner_is_found_though_others_name_old_ones(#[case] names: [Option<u16>; 5], #[case] owner: usize) {
    let controllers: Vec<_> = (0..5).map(|n| controller(n == owner, names[n])).collect();
    let mut client = FleetClient::new("lab", &controllers, "test");
    for _ in 0..3 {
        let answer = client.ask(&Body::ListCommands { last: 1 }, PATIENCE);
        assert_eq!(answer.expect("an answer"), Body::Commands { commands: vec![] });
    }
}
