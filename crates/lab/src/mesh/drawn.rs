//! Drawn troubles, for as many seeds as one has time for.
use notchspool::units::Micros;
use oorandom::Rand64;

use super::{Breach, Player};

/// Troubles within what is to be borne: one core at a time, any proxies, and now and then all processes of the core at once. Meanwhile orders,
/// two bodies under one number, orders sent again, reads and claims.
pub fn drawn(seed: u64) -> Vec<String> {
    let mut player = Player::new(3, 4, seed, &[]);
    let mut chance = Rand64::new(u128::from(seed) * 31);
    let mut below = |n: u64| (chance.rand_float() * n as f64) as u64;
    player.play(Micros::ms(3_000));
    for at in 0..4 {
        player.backend(at, &format!("i-{at}"), "beat");
    }
    let (mut version, mut back, mut free_at) = (1, Vec::<(Micros, usize)>::new(), Micros(0));
    let mut orders: Vec<(u64, String)> = Vec::new();
    for _ in 0..250 {
        let next = player.now + Micros::ms(20 + below(180) as i64);
        player.play(next);
        let now = player.now;
        for (_, core) in back.iter().filter(|b| b.0 <= now) {
            player.cuts.clear();
            player.one_way.clear();
            player.thaw(*core);
            player.set_disk(*core, false, Micros::ms(1));
            player.start_core(*core);
        }
        back.retain(|b| b.0 > now);
        let (core, proxy) = (below(3) as usize, below(4) as usize);
        match below(24) {
            0..=3 => {
                version += below(3);
                let note = format!("n{}", below(1_000));
                player.put(core, version, &note);
                orders.push((version, note));
            }
            4 | 5 => {
                // Two operators at once, one number, two bodies; sent again, each at any core.
                version += 1;
                player.put(core, version, "left");
                player.put((core + 1) % 3, version, "right");
                orders.extend([(version, "left".to_string()), (version, "right".to_string())]);
            }
            20..=21 if !orders.is_empty() => {
                let near = 1 + below(orders.len().min(12) as u64) as usize;
                let (version, note) = orders[orders.len() - near].clone();
                player.put(core, version, &note);
            }
            22 => drop(player.read(core)),
            23 if below(3) == 0 => {
                // A number between those that were used.
                let old = below(version);
                player.put(core, old, "old");
                orders.push((old, "old".to_string()));
            }
            6..=13 => player.claim(proxy, &format!("k{}", below(40))),
            14 => player.kill_proxy(proxy),
            15 => player.start_proxy(proxy),
            16 if now >= free_at && back.is_empty() => {
                // Cuts and standstills last up to twenty seconds.
                let long = below(4) == 0;
                let span = Micros::ms(300 + below(if long { 20_000 } else { 3_000 }) as i64);
                match below(10) {
                    0 => player.kill_core(core, false),
                    1 => player.kill_core(core, true),
                    2 => player.wipe(core),
                    3 => player.cut_off(core, "*"),
                    4 => player.set_disk(core, true, Micros::ms(1)),
                    5 => player.freeze(core),
                    6 => player.cut_to(core, "*"),
                    7 => {
                        // It hears nobody, and all hear it.
                        let own = Player::core_name(core);
                        player.one_way.insert(("*".into(), own));
                    }
                    8 => (0..3)
                        .filter(|other| *other != core)
                        .for_each(|other| player.cut_off(core, &Player::core_name(other))),
                    _ => player.cut_off(core, &Player::core_name((core + 1) % 3)),
                }
                back.push((now + span, core));
                free_at = now + span + Micros::ms(4_000);
            }
            17 if now >= free_at && back.is_empty() => {
                (0..3).for_each(|c| player.kill_core(c, below(2) == 0));
                back.extend((0..3).map(|c| (now + Micros::ms(200 + below(800) as i64), c)));
                free_at = now + Micros::ms(5_000);
            }
            _ => {}
        }
    }
    player.settle();
    let runs = player.ran.len();
    if runs < 5 || player.acked.len() < 5 {
        player
            .violations
            .push(format!("too little came about: {runs} keys, {} versions", player.acked.len()));
    }
    player.violations
}

/// Within this a machine that is back, or the successor of one that was taken away, is whole again.
const CATCH_UP: Micros = Micros::ms(4_000);
/// A seat that falls silent while machines without a seat have long been there goes to one of them by then.
const SUSPECTED: Micros = Micros::ms(7_000);

/// The set of voters under changes: three or five, with machines that are added, taken away, told to end, cut off, and that lose their
/// disks; never more of them at once than is borne, where each counts as lost until it is whole again. All processes may end at any time.
pub fn drawn_members(seed: u64) -> Vec<String> {
    drawn_members_with(seed, Breach::Nothing)
}

/// The same with a safeguard that is off.
pub fn drawn_members_with(seed: u64, breach: Breach) -> Vec<String> {
    let mut chance = Rand64::new(u128::from(seed) * 77 + 5);
    let mut below = |n: u64| (chance.rand_float() * n as f64) as u64;
    let voters = if below(3) == 0 { 5 } else { 3 };
    let bears = voters / 2;
    let cores = voters + 4;
    let mut unused: Vec<usize> = (voters..cores).rev().collect();
    let absent: Vec<usize> = (voters..cores).collect();
    let mut player = Player::new(cores, 3, seed, &absent);
    player.plant(breach);
    player.play(Micros::ms(3_500));
    // Machines that are there; what is to come, and until when each lost one counts.
    let mut there: Vec<usize> = (0..voters).collect();
    let mut due: Vec<(Micros, usize, &str)> = Vec::new();
    let mut lost: Vec<(Micros, usize)> = Vec::new();
    let mut version = 1;
    if below(2) == 0 {
        // One stands by from the beginning.
        let spare = unused.pop().unwrap_or_default();
        player.start_core(spare);
        there.push(spare);
    }
    for _ in 0..220 {
        let next = player.now + Micros::ms(20 + below(200) as i64);
        player.play(next);
        let now = player.now;
        for (_, core, what) in due.iter().filter(|d| d.0 <= now) {
            match *what {
                "join" => player.cuts.retain(|(a, _)| *a != Player::core_name(*core)),
                "gone" => player.remove(*core),
                _ => player.start_core(*core),
            }
        }
        due.retain(|d| d.0 > now);
        lost.retain(|l| l.0 > now);
        let core = there[below(there.len() as u64) as usize];
        match below(16) {
            0..=3 => {
                version += below(3);
                player.put(core, version, &format!("n{}", below(1_000)));
            }
            4..=9 => player.claim(below(3) as usize, &format!("k{}", below(30))),
            10 | 11 if lost.len() < bears && !lost.iter().any(|l| l.1 == core) => {
                let span = Micros::ms(100 + below(3_000) as i64);
                let back = now + span;
                let mut until = back + CATCH_UP;
                match below(7) {
                    0 => player.kill_core(core, false),
                    1 => player.kill_core(core, true),
                    2 | 3 => player.wipe(core),
                    4 => player.cut_off(core, "*"),
                    5 => {
                        player.term(core);
                        until = until + CATCH_UP;
                    }
                    _ => {
                        // Taken away, now and then after it was told to end; its successor may stand by, or comes later.
                        let announced = below(2) == 0;
                        if announced {
                            player.term(core);
                            due.push((now + CATCH_UP, core, "gone"));
                        } else {
                            player.remove(core);
                        }
                        there.retain(|c| *c != core);
                        until = back.max(now + CATCH_UP) + SUSPECTED;
                        match unused.pop() {
                            Some(replacement) => {
                                due.push((back, replacement, "start"));
                                there.push(replacement);
                                lost.push((until, replacement));
                            }
                            None if there.len() < voters => until = now + Micros::ms(1_000_000),
                            None => {}
                        }
                        lost.push((until, core));
                        continue;
                    }
                }
                lost.push((until, core));
                due.push((back, core, "join"));
                due.push((back + if until > back + CATCH_UP { CATCH_UP } else { Micros(0) }, core, "start"));
            }
            12 if below(6) == 0 => {
                let power = below(2) == 0;
                there.iter().for_each(|c| player.kill_core(*c, power));
                let back = now + Micros::ms(100 + below(900) as i64);
                due.extend(there.iter().map(|c| (back, *c, "start")));
                lost.iter_mut().for_each(|l| l.0 = l.0.max(back + CATCH_UP));
            }
            _ => {}
        }
    }
    player.settle();
    if player.ran.len() < 3 || player.sets() == 0 {
        player.violations.push(format!("too little came about: {} keys", player.ran.len()));
    }
    player.violations
}
