//! Links for datagrams with faults, on sockets.
use std::net::SocketAddr;
use std::time::Duration;

use notchspool_lab::cluster::datagram_relay::{DatagramFaults, DatagramRelay};
use tokio::net::UdpSocket;
#[test]
fn datagrams_are_lost_doubled_and_overtake_as_they_are_told() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let third = (std::process::id() % 200 + 30) as u8;
    let at = |last: u8| SocketAddr::from(([127, third, 252, last], 7001));
    runtime.block_on(async {
        let way = DatagramRelay::open(at(1), at(2), at(3), 5).expect("a way");
        let (sends, hears) =
            (UdpSocket::bind(at(4)).await.expect("one"), UdpSocket::bind(at(3)).await.expect("two"));
        way.set(|r| (r.loss, r.duplicated, r.spread) = (0.3, 0.3, Duration::from_millis(40)));
        for n in 0..200_u8 {
            sends.send_to(&[n], at(1)).await.expect("sent");
        }
        let (mut received, mut buf) = (Vec::new(), [0; 10]);
        while let Ok(Ok((1, _))) =
            tokio::time::timeout(Duration::from_millis(500), hears.recv_from(&mut buf)).await
        {
            received.push(buf[0]);
        }
        let distinct: std::collections::BTreeSet<u8> = received.iter().copied().collect();
        assert!(distinct.len() < 190, "some are lost: {}", distinct.len());
        assert!(received.len() > distinct.len(), "some come twice");
        assert!(received.windows(2).any(|w| w[0] > w[1]), "some overtake others");
        way.set(|r| *r = DatagramFaults { cut: true, ..DatagramFaults::default() });
        sends.send_to(&[1], at(1)).await.expect("sent");
        let none = tokio::time::timeout(Duration::from_millis(100), hears.recv_from(&mut buf)).await;
        assert!(none.is_err());
    });
}
