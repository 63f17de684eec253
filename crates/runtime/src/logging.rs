//! Logs to standard error, a line an event, each with its level and the target of its module.
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Root};
use log4rs::encode::pattern::PatternEncoder;

const APPENDER: &str = "console";

/// Begins to log. A second call in one process changes nothing.
pub fn init_logging(level: log::LevelFilter) {
    let encoder = PatternEncoder::new("{l} {t}: {m}{n}");
    let console = ConsoleAppender::builder().target(Target::Stderr).encoder(Box::new(encoder)).build();
    let appender = Appender::builder().build(APPENDER, Box::new(console));
    let root = Root::builder().appender(APPENDER).build(level);
    if let Ok(config) = log4rs::Config::builder().appender(appender).build(root) {
        // A second start in one process keeps the first logger.
        let _ = log4rs::init_config(config);
    }
}
