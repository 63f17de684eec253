//! Drawn troubles, for as many seeds as one has time for.
use notchspool::units::Micros;
use oorandom::Rand64;

use super::Player;

/// Troubles within what is to be borne: one core at a time, any ushers, and now and then all processes of the core at once.
pub fn drawn(seed: u64) -> Vec<String> {
    let mut player = Player::new(3, 4, seed, &[]);
    let mut chance = Rand64::new(u128::from(seed) * 31);
    let mut below = |n: u64| (chance.rand_float() * n as f64) as u64;
    player.play(Micros::ms(3_000));
    for at in 0..4 {
        player.backend(at, &format!("i-{at}"), "beat");
    }
    let (mut version, mut back, mut free_at) = (1, Vec::<(Micros, usize)>::new(), Micros(0));
    for _ in 0..250 {
        let next = player.now + Micros::ms(20 + below(180) as i64);
        player.play(next);
        let now = player.now;
        for (_, core) in back.iter().filter(|b| b.0 <= now) {
            player.cuts.clear();
            player.set_disk(*core, false, Micros::ms(1));
            player.start_core(*core);
        }
        back.retain(|b| b.0 > now);
        let (core, usher) = (below(3) as usize, below(4) as usize);
        match below(20) {
            0..=4 => {
                version += below(3);
                player.put(core, version, &format!("n{}", below(1_000)));
            }
            5 => {
                // Two operators at once, one number, two bodies.
                version += 1;
                player.put(core, version, "left");
                player.put((core + 1) % 3, version, "right");
            }
            6..=13 => player.claim(usher, &format!("k{}", below(40))),
            14 => player.kill_usher(usher),
            15 => player.start_usher(usher),
            16 if now >= free_at && back.is_empty() => {
                let span = Micros::ms(300 + below(3_000) as i64);
                match below(6) {
                    0 => player.kill_core(core, false),
                    1 => player.kill_core(core, true),
                    2 => player.wipe(core),
                    3 => player.cut_off(core, "*"),
                    4 => player.set_disk(core, true, Micros::ms(1)),
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
        player.wrong.push(format!("too little came about: {runs} keys, {} versions", player.acked.len()));
    }
    player.wrong
}
