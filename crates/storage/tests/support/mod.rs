//! What the tests of the storage share.
use notchspool_mesh_protocol::{Claim, Ticket};
use notchspool_storage::WriteOp;

/// The ticket of all claims here.
pub const TICKET: Ticket = Ticket { boot_id: 1, number: 1, attempt: 0 };

/// A claim of this key.
pub fn claim(key: &str) -> WriteOp {
    WriteOp::Claim(Claim {
        key: key.into(),
        ticket: Some(TICKET),
        holder: "h".into(),
        holder_boot_id: 1,
        ..Claim::default()
    })
}
