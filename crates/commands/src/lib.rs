//! Orders to many instances. `book` is the keeper's side: what was ordered, by whom, and what became of it at each
//! instance. `obey` is an instance's side: each revision is done at most once, whatever is told twice, late or in
//! another order. Neither knows a socket, a disk or a clock.
//!
//! Held always, and tried by walking all interleavings of small cases in `tests/walk.rs`: an order that was taken stays in the
//! book; no instance does a revision twice in one life; none is reported as applied that was not; overtaken is final;
//! with contact and time every pair of order and instance comes to an end.
pub mod book;
pub mod obey;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);
    )*};
}
ids! {
    /// The number of an order; later ones are larger.
    Revision(u64);
    /// An instance, by the number that the keeper gave its name.
    InstanceId(u32);
    /// One life of an instance: each start has a larger one.
    Epoch(u64);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Act {
    Drain,
    Undrain,
    Reload,
    Stop,
}

/// What an act is about. A later act on the same subject overtakes an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    Service,
    Terms,
    Life,
}

impl Act {
    pub fn subject(self) -> Subject {
        match self {
            Act::Drain | Act::Undrain => Subject::Service,
            Act::Reload => Subject::Terms,
            Act::Stop => Subject::Life,
        }
    }
    /// Whether what it brought about ends with the life of the instance, so that the next one has to hear of it.
    fn fades(self) -> bool {
        self == Act::Drain
    }
}

/// What an instance says of a revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    Done,
    Refused(String),
}
