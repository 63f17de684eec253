//! The fleet's matters, on a thread of their own: the agent registers with the keepers, renews, obeys. Traffic knows two things of
//! it: counts that it leaves behind now and then, and deeds that come to it as messages, one at a time. No txn's path touches
//! either, and no keeper, a slow one or a lying one changes how the agent routes.
mod link;
mod tokens;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use notchspool_commands::{CommandKind, Revision};
use notchspool_consensus::Token;
use notchspool_fleet_protocol::Report;
use notchspool_settings::file::Fleet;
use tokio::sync::{mpsc, oneshot};

/// What the serving thread leaves for the fleet to see; each figure for itself, none waited for.
#[derive(Debug, Default)]
pub struct Counts {
    pub settled: AtomicU64,
    pub other: AtomicU64,
    pub in_hand: AtomicU64,
    pub list: AtomicU64,
    pub away: AtomicBool,
}

impl Counts {
    fn report(&self, seen: Token) -> Report {
        let count = |of: &AtomicU64| of.load(Ordering::Relaxed);
        Report {
            program: env!("CARGO_PKG_VERSION").into(),
            settled: count(&self.settled),
            other: count(&self.other),
            in_hand: count(&self.in_hand),
            away: self.away.load(Ordering::Relaxed),
            list: count(&self.list),
            seen,
        }
    }
}

/// To be done by the serving thread, which says how it went.
#[derive(Debug)]
pub struct Deed {
    pub act: CommandKind,
    pub revision: Revision,
    pub token: Token,
    pub done: oneshot::Sender<Result<(), String>>,
}

/// Begins; it ends with the process. An error is a folder that can't be used.
pub fn start(fleet: Fleet, name: &str) -> Result<(Arc<Counts>, mpsc::Receiver<Deed>), String> {
    let tokens = tokens::Tokens::open(&fleet.state, name)?;
    let counts = Arc::new(Counts::default());
    let (deeds, asked) = mpsc::channel(1);
    let (name, left) = (name.to_owned(), counts.clone());
    let thread = std::thread::Builder::new().name("control".into());
    let begun = thread.spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        match runtime {
            Ok(runtime) => runtime.block_on(link::Control::new(fleet, name, tokens, left, deeds).run()),
            Err(why) => log::error!("fleet: no runtime: {why}: nobody orders this agent"),
        }
    });
    begun.map_err(|e| format!("no thread for the fleet: {e}"))?;
    Ok((counts, asked))
}
