//! Which of several pools a request goes to: by shares, and for the same key always the same. Shares may change: then
//! only as many keys move as the shares say (rendezvous hashing with weights).

/// FNV-1a over the key and the pool's name, mixed once more so that near names lie far apart.
fn hash(key: &[u8], name: &str) -> u64 {
    let mut h: u64 = 0xcbf2_9ce4_8422_2325;
    for &byte in key.iter().chain(&[0xff]).chain(name.as_bytes()) {
        h = (h ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    h ^ (h >> 31)
}

/// The place of the pool that this key belongs to, among names with their shares. None where all shares are nothing.
pub fn pool_of(key: &[u8], pools: &[(String, f64)]) -> Option<usize> {
    let score = |(name, share): &(String, f64)| {
        // In (0, 1), never one of its ends.
        let lot = ((hash(key, name) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
        -share / lot.ln()
    };
    let scored =
        pools.iter().enumerate().filter(|(_, pool)| pool.1 > 0.0).map(|(at, pool)| (at, score(pool)));
    scored.max_by(|a, b| a.1.total_cmp(&b.1)).map(|(at, _)| at)
}
