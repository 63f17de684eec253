//! Ids and draws of the lab. Times, kinds and groups are the module's own.
pub use notchspool::units::{ClassId, DeduplicationScope, Micros, RequestKind};
use oorandom::Rand64;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(pub $inner);
    )*};
}
ids! {
    /// What a client wants done, over all of its tries.
    OrderId(u64);
    /// One try of an order: what an agent takes as a txn. Its `X-Trace-Id` is made of it.
    TxnId(u64);
    /// One sending of a txn to a backend, numbered as the backends see them begin.
    PostingId(u64);
    /// A backend, in the order of the fleet.
    BackId(usize);
    /// An agent, in the order of the fleet.
    AgentId(usize);
    /// A zone, in the order of the experiment.
    ZoneId(usize);
    /// What a referenced txn carries so that a repeat is known.
    RefId(u64);
}

/// One well-mixed word of a seed and some numbers: draws that do not depend on the order of events.
pub fn mixed(seed: u64, of: &[u64]) -> u64 {
    let mix = |mut z: u64| {
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    };
    of.iter().fold(mix(seed.wrapping_add(0x9e37_79b9_7f4a_7c15)), |held, &n| {
        mix(held.wrapping_add(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_add(0x9e37_79b9_7f4a_7c15))
    })
}

/// A number in [0, 1) of a seed and some numbers.
pub fn lot(seed: u64, of: &[u64]) -> f64 {
    (mixed(seed, of) >> 11) as f64 / (1u64 << 53) as f64
}

/// A span drawn from an exponential distribution of this mean.
pub fn waiting(chance: &mut Rand64, mean: f64) -> f64 {
    -mean * (1.0 - chance.rand_float()).ln()
}

/// Draws a place by weight. None where all weights are nothing.
pub fn by_weight(weights: impl Iterator<Item = f64> + Clone, dart: f64) -> Option<usize> {
    let mut left = dart * weights.clone().sum::<f64>();
    let mut last = None;
    for (at, weight) in weights.enumerate().filter(|(_, w)| *w > 0.0) {
        last = Some(at);
        left -= weight;
        if left < 0.0 {
            break;
        }
    }
    last
}
