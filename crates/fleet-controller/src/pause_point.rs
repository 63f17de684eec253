//! Points in the code where a test makes this process stop itself: between a look at the lease and what follows from it.
use std::str::FromStr;

use rustix::process::{Signal, getpid, kill_process};

/// Stops this process the nth time that it passes a point. Written `POINT:N`.
#[derive(Clone, Debug)]
pub struct PausePoint {
    name: String,
    passes_left: u32,
}

/// Why a text is no pause point.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum ParseError {
    /// There is no colon.
    #[display("POINT:N is wanted")]
    NoNumber,
    /// What follows the colon is no number.
    #[display("`{_0}` is no number")]
    BadNumber(#[error(not(source))] String),
}

impl FromStr for PausePoint {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<PausePoint, ParseError> {
        let (name, passes) = text.split_once(':').ok_or(ParseError::NoNumber)?;
        let passes_left = passes.parse().map_err(|_| ParseError::BadNumber(passes.to_owned()))?;
        Ok(PausePoint { name: name.to_owned(), passes_left })
    }
}

impl PausePoint {
    /// This process passes a point. True where it stopped there, and has been continued since.
    pub fn pass(&mut self, name: &str) -> bool {
        if self.name != name {
            return false;
        }
        self.passes_left = self.passes_left.saturating_sub(1);
        if self.passes_left > 0 {
            return false;
        }
        log::warn!("held at {name}");
        log::logger().flush();
        if let Err(error) = kill_process(getpid(), Signal::STOP) {
            log::error!("this process can't stop itself: {error}");
        }
        true
    }
}
