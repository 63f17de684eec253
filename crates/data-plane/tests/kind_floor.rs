//! The floor that each kind of work has at a backend.
use notchspool::units::Micros;
use notchspool_data_plane::kind_floor::KindFloor;
use notchspool_data_plane::work_kind::WorkKind;

fn kind(latency_target_ms: u32) -> WorkKind {
    WorkKind { priority: 1, latency_target_ms }
}

/// Configurations bring new kinds for as long as a proxy runs; after 64 of them none that was new had a floor.
#[test]
fn a_new_kind_has_a_floor_however_many_there_were_before() {
    let mut floor = KindFloor::new(Micros(1));
    for past in 0..200 {
        floor.on_offered(Micros::ms(1_000 * i64::from(past)), kind(past));
    }
    let now = Micros::ms(300_000);
    for _ in 0..20 {
        floor.on_offered(now, kind(5_000));
        floor.on_begun(kind(5_000));
        floor.on_offered(now, kind(6_000));
    }
    assert!(floor.is_starved(kind(6_000)));
    assert_eq!(floor.starved_kinds(), [kind(6_000)]);
    assert!(!floor.is_starved(kind(5_000)));
}
