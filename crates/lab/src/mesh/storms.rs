//! Drawn storms of changes amid losses of one core at a time: killed, without power, with an empty disk, cut off, with a full or slow disk; or of
//! all at once. Processes forget what they held of earlier texts.
use notchspool::units::Micros;
use oorandom::Rand64;

use super::Player;

/// Changes at most before the next trouble.
const MOST: u64 = 60;

pub fn storms(seed: u64) -> Vec<String> {
    let mut player = Player::new(3, 3, seed, &[]);
    let mut chance = Rand64::new(u128::from(seed) * 77 + 5);
    let mut below = |n: u64| (chance.rand_float() * n as f64) as u64;
    player.play(Micros::ms(3_000));
    let (mut version, mut back, mut free_at) = (0, Vec::<(Micros, usize)>::new(), Micros(0));
    for _ in 0..24 {
        let next = player.now + Micros::ms(50 + below(900) as i64);
        player.play(next);
        let now = player.now;
        for (_, core) in back.iter().filter(|b| b.0 <= now) {
            player.cuts.clear();
            player.set_disk(*core, false, Micros::ms(1));
            player.start_core(*core);
        }
        back.retain(|b| b.0 > now);
        let core = below(3) as usize;
        let to = version + 1 + below(MOST);
        player.storm(core, version + 1, to);
        version = to;
        if below(3) == 0 {
            let proxy = below(3) as usize;
            player.forget(false, proxy);
        }
        if below(4) == 0 {
            player.forget(true, core);
        }
        if now < free_at || !back.is_empty() {
            continue;
        }
        let (lost, span) = (below(3) as usize, Micros::ms(100 + below(2_500) as i64));
        // The trouble strikes amid the storm.
        let amid = player.now + Micros::ms(below(300) as i64);
        player.play(amid);
        free_at = player.now + span + Micros::ms(4_000);
        back.push((player.now + span, lost));
        match below(9) {
            0 => player.kill_core(lost, false),
            1 => player.kill_core(lost, true),
            2 | 3 => player.wipe(lost),
            4 => player.cut_off(lost, "*"),
            5 => player.set_disk(lost, true, Micros::ms(1)),
            6 => player.set_disk(lost, false, Micros::ms(200)),
            7 => {
                // Told all, and without power again before the disk has it.
                player.wipe(lost);
                player.set_disk(lost, false, Micros::ms(150));
                player.start_core(lost);
                let announced_at = player.now + Micros::ms(100 + below(500) as i64);
                player.play(announced_at);
                player.kill_core(lost, true);
            }
            _ => {
                (0..3).for_each(|c| player.kill_core(c, below(2) == 0));
                back.extend((0..3).map(|c| (player.now + Micros::ms(200 + below(800) as i64), c)));
            }
        }
    }
    player.settle();
    if player.acked.len() < 20 {
        player.violations.push(format!("too little came about: {} versions", player.acked.len()));
    }
    player.violations
}
