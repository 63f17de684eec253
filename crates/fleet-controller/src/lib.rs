//! A keeper: a voter with its disk, a contender for the fleet's jobs, and, while it owns the orders, their office. One thread does the
//! disk, so that a disk that hangs stops one vote and no lease of others; all else is one loop (`core`).
pub mod calls;
mod core;
pub mod disk;
pub mod file;
mod peers;
mod seat;

use std::process::ExitCode;

pub use file::File;

/// Where a test stops this process itself, the how manyth time it passes there: between a look at the lease and what follows.
#[derive(Clone, Debug)]
pub struct Hold {
    pub at: String,
    pub nth: u32,
}

impl std::str::FromStr for Hold {
    type Err = String;
    fn from_str(text: &str) -> Result<Hold, String> {
        let (at, nth) = text.split_once(':').ok_or("POINT:N is wanted")?;
        Ok(Hold { at: at.into(), nth: nth.parse().map_err(|_| format!("`{nth}` is no number"))? })
    }
}

/// What a start is told beside the file.
#[derive(Clone, Debug, Default)]
pub struct Start {
    /// The fleet is new: this voter begins with an empty disk, and says so.
    pub first: bool,
    pub hold: Option<Hold>,
}

/// The keeper until its end.
pub fn run(file: File, start: Start) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = match runtime {
        Ok(runtime) => runtime.block_on(core::live(file, start)),
        Err(why) => Err(format!("no runtime: {why}")),
    };
    let code = match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            log::error!("cannot run: {why}");
            ExitCode::FAILURE
        }
    };
    log::logger().flush();
    code
}
