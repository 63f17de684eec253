//! Who is there: instances hold leases and renew them. The keeper's side, without I/O; time and chance are handed in.
//!
//! It follows the project's own source in spirit: a lease that runs out is a sign, not a proof; many that run out together are
//! a sign of the keeper's own sight, and are held instead of being declared gone.
//!
//! Held always, and tried by random histories in `tests/leases.rs`: the epochs of a name only grow, and what an earlier life says
//! is fenced off; nobody is declared gone while the guard holds; renewals are admitted before new names; what is kept is
//! bounded by who is there and who was there lately.
pub mod admit;
pub mod leases;
