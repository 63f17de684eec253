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
    let unsent = load.add(Some(40_000), KIND);
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

/// Half of the target is 600 ms: larger responses fit in only one at a time.
const TARGET: Micros = Micros::ms(1_200);

#[test]
fn an_idle_link_takes_a_response_of_any_usual_size_and_a_busy_one_only_what_it_carries_in_time() {
    let load = link();
    (0..60).for_each(|_| load.measure(KIND, 8 * FILE_BYTES));
    assert!(load.backlog_with(KIND) > Micros::ms(700));
    assert_eq!(load.admit(KIND, TARGET), Ok(()));
    let at_work = load.expect(KIND);
    assert!(load.admit(KIND, TARGET).is_err(), "one of them is at work");
    drop(at_work);
    let unsent = load.add(Some(8 * FILE_BYTES), KIND);
    assert!(load.admit(KIND, TARGET).is_err(), "one of them is being sent");
    drop(unsent);
    assert_eq!(load.admit(KIND, TARGET), Ok(()));
}

/// Files of drawn sizes, each begun where the link takes it and sent before the next one comes: none is refused for good.
#[test]
fn after_any_sizes_files_of_the_usual_size_are_soon_taken_side_by_side_again() {
    for seed in 0..1_000u64 {
        let mut chance = seed.wrapping_mul(6_364_136_223_846_793_005) | 1;
        let mut below = |bound: usize| {
            chance = chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (chance >> 33) as usize % bound
        };
        let load = link();
        let serve = |bytes: usize| {
            assert_eq!(load.admit(KIND, TARGET), Ok(()), "seed {seed}: an idle link refuses");
            let expected = load.expect(KIND);
            load.measure(KIND, bytes);
            drop(expected);
        };
        (0..below(200)).for_each(|_| serve(1 + below(40) * FILE_BYTES));
        (0..40).for_each(|_| serve(FILE_BYTES));
        let _at_work = load.expect(KIND);
        assert_eq!(load.admit(KIND, TARGET), Ok(()), "seed {seed}: two at once");
    }
}
