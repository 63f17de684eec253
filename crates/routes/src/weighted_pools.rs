//! Which of several pools a request goes to: by weights, and for the same key always the same.
//!
//! Rendezvous hashing with weights (Schindelhauer and Schomaker, 2005): when weights change, only as many keys move as the weights say.

/// A pool of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedPool {
    /// Its name, by which keys are spread.
    pub name: String,
    /// Its share of the keys, relative to the others; at 0 it gets none.
    pub weight: f64,
}

/// FNV-1a over the key and the pool's name, mixed once more (the finaliser of `SplitMix64`) so that similar names lie far apart.
fn hash(key: &[u8], name: &str) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for &byte in key.iter().chain(&[0xff]).chain(name.as_bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// The index of the pool that a key belongs to; nothing where all weights are 0.
pub fn pool_for_key(key: &[u8], pools: &[WeightedPool]) -> Option<usize> {
    let score = |pool: &WeightedPool| {
        // In (0, 1), never one of its ends.
        let uniform = ((hash(key, &pool.name) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
        -pool.weight / uniform.ln()
    };
    let weighted = pools.iter().enumerate().filter(|(_, pool)| pool.weight > 0.0);
    let scored = weighted.map(|(index, pool)| (index, score(pool)));
    scored.max_by(|a, b| a.1.total_cmp(&b.1)).map(|(index, _)| index)
}
