//! What the mesh's processes have in common: what they are told (`told`), their connections to one another (`rope`), the signals they
//! bear (`signals`), the steady clock and logs.
pub mod rope;
pub mod signals;
pub mod told;

use std::time::Instant;

use notchspool::units::Micros;

/// The steady clock of this process, in microseconds from its start, plus one so that 0 is before everything.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Clock {
        Clock(Instant::now())
    }
    pub fn now(&self) -> Micros {
        Micros(self.0.elapsed().as_micros() as i64 + 1)
    }
}

/// Chance for one life of a process: from the random state that the standard library draws at start.
pub fn seed() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = std::hash::RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish() | 1
}

/// Logs to standard error, a line an event, each with the prefix of its part.
pub fn logs(level: log::LevelFilter) {
    use log4rs::append::console::{ConsoleAppender, Target};
    use log4rs::config::{Appender, Root};
    let form = log4rs::encode::pattern::PatternEncoder::new("{l} {t}: {m}{n}");
    let console = ConsoleAppender::builder().target(Target::Stderr).encoder(Box::new(form)).build();
    let root = Root::builder().appender("console").build(level);
    let all = log4rs::Config::builder().appender(Appender::builder().build("console", Box::new(console)));
    if let Ok(config) = all.build(root) {
        // A second start in one process keeps the first logger.
        let _ = log4rs::init_config(config);
    }
}
