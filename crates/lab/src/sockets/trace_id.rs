//! The trace id of a request, and the body of its answer, as they go over the wire.
use crate::core::kit::*;

/// The trace id of a request.
pub fn trace_of(txn: TxnId) -> String {
    format!("{:016x}", txn.0)
}

/// The request of a trace id.
pub fn txn_of(trace: &str) -> Option<TxnId> {
    u64::from_str_radix(trace, 16).ok().map(TxnId)
}

/// What a backend answers to a request, and nobody else could.
pub fn body_of(txn: TxnId) -> String {
    format!("settled {:016x}\n", mixed(0x5e77, &[txn.0]))
}
