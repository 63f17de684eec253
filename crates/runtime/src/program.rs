//! The start of a program of the mesh: signals, arguments, logs, settings, and then its service until it ends.
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::{Parser, construct, long};
use tokio::task::LocalSet;

use crate::init_logging;
use crate::node_settings::{NodeSettings, SettingsError};
use crate::signals::Signals;

/// The environment variable that names the settings file.
const SETTINGS_VARIABLE: &str = "NOTCHSPOOL_SETTINGS";
/// The exit code where settings or arguments are of no use.
const USAGE_EXIT_CODE: u8 = 2;

/// One program.
pub struct Program {
    /// Its name, which stands in front of its errors.
    pub name: &'static str,
    /// One line for `--help`.
    pub description: &'static str,
}

/// Settings that were read and checked for a role.
pub struct CheckedSettings<L> {
    /// The settings.
    pub node: NodeSettings,
    /// The file that they were read from.
    pub file: PathBuf,
    /// The listeners of the role.
    pub listeners: L,
}

struct Arguments {
    settings: Option<PathBuf>,
    check: bool,
    verbose: bool,
}

fn arguments(description: &'static str) -> bpaf::OptionParser<Arguments> {
    let settings = long("settings")
        .help("The settings file; by default the one that NOTCHSPOOL_SETTINGS names")
        .argument::<PathBuf>("FILE")
        .optional();
    let check = long("check").help("Read and check the settings file, then end").switch();
    let verbose = long("verbose").help("Log each connection that ends").switch();
    construct!(Arguments { settings, check, verbose }).to_options().descr(description)
}

/// What `serve` ends with.
pub type ServiceResult = Result<(), Box<dyn std::error::Error>>;

impl Program {
    /// Runs the program from its first line to its exit code.
    ///
    /// `listeners` takes from the settings what the role must have; `serve` runs until SIGTERM, on one thread.
    pub fn run<L, S: Future<Output = ServiceResult>>(
        &self,
        listeners: impl FnOnce(&NodeSettings, &Path) -> Result<L, SettingsError>,
        serve: impl FnOnce(CheckedSettings<L>, Signals) -> S,
    ) -> ExitCode {
        // Before all else: a signal that comes early must not end the process.
        let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(e) => return self.fail(format!("no runtime: {e}")),
        };
        let signals = match runtime.block_on(async { Signals::install() }) {
            Ok(signals) => signals,
            Err(e) => return self.fail(format!("no signals: {e}")),
        };
        let arguments = arguments(self.description).run();
        init_logging(if arguments.verbose { log::LevelFilter::Debug } else { log::LevelFilter::Info });
        let named = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
        let Some(file) = arguments.settings.or(named) else {
            return self.refuse(format!("{SETTINGS_VARIABLE}: names no settings file"));
        };
        let settings = match read_settings(file, listeners) {
            Ok(settings) => settings,
            Err(e) => return self.refuse(e.to_string()),
        };
        if arguments.check {
            println!("{} is sound", settings.file.display());
            return ExitCode::SUCCESS;
        }
        match LocalSet::new().block_on(&runtime, serve(settings, signals)) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => self.fail(e.to_string()),
        }
    }

    fn fail(&self, reason: String) -> ExitCode {
        eprintln!("{}: {reason}", self.name);
        ExitCode::FAILURE
    }

    fn refuse(&self, reason: String) -> ExitCode {
        eprintln!("{}: {reason}", self.name);
        ExitCode::from(USAGE_EXIT_CODE)
    }
}

fn read_settings<L>(
    file: PathBuf,
    listeners: impl FnOnce(&NodeSettings, &Path) -> Result<L, SettingsError>,
) -> Result<CheckedSettings<L>, SettingsError> {
    let node = NodeSettings::read(&file)?;
    let listeners = listeners(&node, &file)?;
    Ok(CheckedSettings { node, file, listeners })
}
