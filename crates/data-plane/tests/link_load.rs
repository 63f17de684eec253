//! Large responses against the speed of the machine's link.
use std::path::Path;
use std::rc::Rc;

use notchspool::units::Micros;
use notchspool_data_plane::context::Context;
use notchspool_data_plane::link_load::LinkLoad;
use notchspool_runtime::node_settings::NodeSettings;

/// 8 Mbit/s: a thousand bytes each millisecond.
const SETTINGS: &str = r#"{"node":"n","zone":"a","ipAddress":"127.0.0.1","portRange":[7620,7635],"listenAddresses":{},"seedNodes":[],
    "firstStart":true,"dataPath":null,"beatIntervalS":1.5,"bounds":["drainS=2","graceS=6"],"limits":{"memoryMb":64,"linkMbps":8},
    "appAddress":"127.0.0.1:8301","service":"s"}"#;
const KIND: u32 = 1_200;
const FILE_BYTES: usize = 100_000;

fn link() -> Rc<LinkLoad> {
    let settings = NodeSettings::parse(Path::new("settings"), SETTINGS.as_bytes()).unwrap();
    let load = Rc::new(LinkLoad::new(Rc::new(Context::new(settings, 1))));
    load.measure(KIND, FILE_BYTES);
    load
}

#[test]
fn what_requests_at_work_are_expected_to_send_counts_until_they_are_done() {
    let load = link();
    assert_eq!(load.backlog_with(200), Micros(0), "small responses find no backlog");
    assert_eq!(load.backlog_with(KIND), Micros::ms(100));
    let at_work = [load.expect(KIND), load.expect(KIND)];
    assert_eq!(load.backlog_with(KIND), Micros::ms(300));
    // One of them is done, and its response is smaller than usual.
    let [done, _other] = at_work;
    drop(done);
    let unsent = load.add(40_000);
    assert_eq!(load.backlog(), Micros::ms(140));
    unsent.on_sent(30_000);
    assert_eq!(load.backlog(), Micros::ms(110));
    drop(unsent);
    assert_eq!((load.backlog(), load.unsent_bytes()), (Micros::ms(100), 0));
}

#[test]
fn chunks_of_all_responses_are_handed_to_the_link_no_faster_than_it_carries_them() {
    let load = link();
    let start = Micros::ms(5_000);
    let waits: Vec<Micros> = (0..10).map(|_| load.pace(start, 16_000)).collect();
    assert_eq!(waits[0], Micros(0), "an idle link takes the first at once");
    assert!(waits.is_sorted(), "{waits:?}");
    // 16 ms each, a quarter more so that other messages find room, and less the short time that an idle link saves up.
    assert!(waits[9] >= Micros::ms(9 * 20 - 20) && waits[9] <= Micros::ms(9 * 20), "{waits:?}");
    // What was handed over is worked off with time, and no more than a short time is saved up.
    assert_eq!(load.pace(start + Micros::ms(10_000), 16_000), Micros(0));
    assert!(load.pace(start + Micros::ms(10_000), 160_000) < Micros::ms(20));
    assert!(load.pace(start + Micros::ms(10_000), 1) > Micros::ms(130));
}
