//! The order in which a proxy ends, whatever is in flight meanwhile.
use notchspool::units::Micros;
use notchspool_data_plane::shutdown::{CLIENTS_SENT_FOR, InFlight, KnownEnd, Need, Phase, Shutdown};
use oorandom::Rand64;

const GRACE: Micros = Micros::ms(6_000);
const STEP: Micros = Micros::ms(20);
const IDLE: InFlight = InFlight { backend_busy: false, clients: 0, peers: 0 };

/// Plays an end; `in_flight` tells what is in flight at a time and in a phase. When each phase was entered.
fn play(grace: Micros, mut in_flight: impl FnMut(Micros, Phase) -> InFlight) -> Vec<(Phase, Micros)> {
    let start = Micros::ms(1_000);
    let mut shutdown = Shutdown::new(start, grace);
    let (mut now, mut entered) = (start, Vec::new());
    while shutdown.phase() != Phase::Ended {
        assert!(now - start <= GRACE, "it does not end");
        match shutdown.apply(now, in_flight(now - start, shutdown.phase())) {
            Some(phase) => entered.push((phase, now - start)),
            None => now = now + STEP,
        }
    }
    entered
}

fn entered_at(entered: &[(Phase, Micros)], phase: Phase) -> Option<Micros> {
    entered.iter().find(|(entered, _)| *entered == phase).map(|(_, at)| *at)
}

#[test]
fn an_idle_proxy_ends_once_clients_are_sent_elsewhere() {
    let entered = play(GRACE, |_, _| IDLE);
    let phases: Vec<Phase> = entered.iter().map(|(phase, _)| *phase).collect();
    assert_eq!(phases, [Phase::Announced, Phase::Draining, Phase::Closing, Phase::Ended]);
    assert_eq!(entered_at(&entered, Phase::Ended), Some(CLIENTS_SENT_FOR));
}

#[test]
fn calls_are_served_for_as_long_as_the_backend_works() {
    let busy_until = Micros::ms(4_000);
    let entered = play(GRACE, |at, _| InFlight {
        backend_busy: at < busy_until,
        clients: 1 - usize::from(at >= busy_until),
        ..IDLE
    });
    assert_eq!(entered_at(&entered, Phase::Closing), Some(busy_until));
    assert_eq!(entered_at(&entered, Phase::Ended), Some(busy_until));
}

#[test]
fn others_are_given_time_to_close_their_connections_and_no_more() {
    let entered = play(GRACE, |_, _| InFlight { peers: 1, ..IDLE });
    assert_eq!(entered_at(&entered, Phase::Ended), Some(CLIENTS_SENT_FOR + Micros::ms(500)));
    let closed_at = CLIENTS_SENT_FOR + Micros::ms(100);
    let entered = play(GRACE, |at, _| InFlight { peers: usize::from(at < closed_at), ..IDLE });
    assert_eq!(entered_at(&entered, Phase::Ended), Some(closed_at));
}

#[test]
fn a_short_grace_period_is_kept_all_the_same() {
    for grace_ms in [0, 300, 1_500, 2_000, 2_500] {
        let grace = Micros::ms(grace_ms);
        let entered = play(grace, |_, _| InFlight { backend_busy: true, clients: 3, peers: 2 });
        assert!(entered_at(&entered, Phase::Ended).unwrap() <= grace, "{grace:?}: {entered:?}");
    }
}

#[test]
fn drawn_ends_go_forward_and_cut_nothing_off_before_the_grace_period_is_over() {
    for seed in 0..500 {
        let mut random = Rand64::new(seed);
        let mut last_load = IDLE;
        let entered = play(GRACE, |_, phase| {
            let chance = random.rand_float();
            // Once it drains nothing new begins at the backend.
            let may_begin = phase < Phase::Draining || last_load.backend_busy;
            last_load = InFlight {
                backend_busy: may_begin && chance < 0.9,
                clients: (random.rand_float() * 3.0) as usize,
                peers: (random.rand_float() * 2.0) as usize,
            };
            last_load
        });
        assert!(entered.is_sorted_by(|a, b| a.0 < b.0), "seed {seed}: {entered:?}");
        let ended_at = entered_at(&entered, Phase::Ended).unwrap();
        let is_cut = last_load.backend_busy || last_load.clients > 0;
        assert!(
            !is_cut || ended_at >= Micros::ms(5_300),
            "seed {seed}: ends at {ended_at:?} with {last_load:?}"
        );
    }
}

#[test]
fn what_may_be_cut_off_is_taken_only_while_clients_come_and_where_it_does_little_harm() {
    let shutdown = Shutdown::new(Micros::ms(1_000), GRACE);
    let end = |at| shutdown.known_end(Micros::ms(at));
    assert_eq!(end(1_000), KnownEnd { at: Micros::ms(6_300), clients_are_sent: true });
    assert!(end(3_199).clients_are_sent && !end(3_200).clients_are_sent);
    assert!(
        !end(5_900).is_too_late_to_send(Micros::ms(5_949))
            && end(5_900).is_too_late_to_send(Micros::ms(5_950))
    );
    let need = |deadline, must_be_complete| Need { deadline: Micros::ms(deadline), must_be_complete };
    // (asked at, deadline, must be complete): taken
    let rows = [
        (1_000, 6_300, true, true),
        (1_000, 6_301, true, false),
        (1_000, 6_301, false, true),
        (3_200, 6_301, false, false),
        (3_200, 6_300, false, true),
        (6_000, 6_300, true, true),
    ];
    for (at, deadline, must_be_complete, taken) in rows {
        assert_eq!(
            end(at).allows(need(deadline, must_be_complete)),
            taken,
            "{at} {deadline} {must_be_complete}"
        );
    }
}
