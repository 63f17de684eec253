//! A controller's settings file. Every field has a stated default or has to be there; all mistakes are reported at once, each with its
//! place. The names of the fields are those of `docs/fleet.md`.
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};
use std::path::{Path, PathBuf};

use notchspool::units::Micros;
use notchspool_command_controller::Policy;
use notchspool_consensus::Parameters;
use notchspool_fleet_protocol::is_valid_name;
use notchspool_leases::lease_table::LeasePolicy;
use notchspool_settings::mistake::Mistake;
use serde::Deserialize;
use toml::Spanned;

/// A command without an outcome is sent again after this.
const RESEND_AFTER: Micros = Micros::ms(500);
/// How many voters a fleet may have.
const VOTER_COUNTS: [usize; 3] = [1, 3, 5];

const OWNER_LEASE_MS: RangeInclusive<f64> = 200.0..=60_000.0;
const INSTANCE_LEASE_MS: RangeInclusive<f64> = 200.0..=600_000.0;
const FRACTION: RangeInclusive<f64> = 0.0..=1.0;
const GUARD_MS: RangeInclusive<f64> = 0.0..=3_600_000.0;
const RETENTION_MS: RangeInclusive<f64> = 1_000.0..=86_400_000.0;
const CALLS_A_SECOND: RangeInclusive<f64> = 0.1..=1e6;
const BURST: RangeInclusive<f64> = 1.0..=1e6;
const MAX_UNAVAILABLE: RangeInclusive<f64> = 0.001..=1.0;
const RETAINED_COMMANDS: RangeInclusive<f64> = 1.0..=1_000.0;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FileForm {
    fleet: Spanned<String>,
    name: Spanned<String>,
    listen: Spanned<String>,
    state: PathBuf,
    voters: Vec<Spanned<String>>,
    /// Counted from 1; without it the place of `listen` among the voters.
    place: Option<Spanned<u16>>,
    #[serde(default = "default_owner_lease")]
    lease_ms: Spanned<f64>,
    #[serde(default)]
    instances: InstancesForm,
    #[serde(default)]
    waves: WavesForm,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct InstancesForm {
    lease_ms: Spanned<f64>,
    guard_part: Spanned<f64>,
    window_ms: Spanned<f64>,
    hold_ms: Spanned<f64>,
    remember_ms: Spanned<f64>,
    rate: Spanned<f64>,
    burst: Spanned<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct WavesForm {
    part: Spanned<f64>,
    keep: Spanned<f64>,
}

/// A default has no place in the file.
fn unplaced(value: f64) -> Spanned<f64> {
    Spanned::new(0..0, value)
}

fn default_owner_lease() -> Spanned<f64> {
    unplaced(3_000.0)
}

impl Default for InstancesForm {
    fn default() -> InstancesForm {
        InstancesForm {
            lease_ms: unplaced(3_000.0),
            guard_part: unplaced(0.15),
            window_ms: unplaced(10_000.0),
            hold_ms: unplaced(60_000.0),
            remember_ms: unplaced(600_000.0),
            rate: unplaced(2_000.0),
            burst: unplaced(400.0),
        }
    }
}

impl Default for WavesForm {
    fn default() -> WavesForm {
        WavesForm { part: unplaced(0.25), keep: unplaced(200.0) }
    }
}

/// The settings of one controller.
#[derive(Clone, Debug)]
pub struct ControllerSettings {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of this controller.
    pub name: String,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Folder of its disk.
    pub state_folder: PathBuf,
    /// All controllers, in the same order in every file of the fleet.
    pub voters: Vec<SocketAddr>,
    /// Its own index among them, from 0.
    pub index: u16,
    /// What all voters of the fleet agree on.
    pub parameters: Parameters,
    /// For the commands of the fleet.
    pub policy: Policy,
}

/// Collects mistakes with their places.
struct Checker<'a> {
    file: &'a str,
    text: &'a str,
    mistakes: Vec<Mistake>,
}

impl Checker<'_> {
    fn mistake(&mut self, span: Range<usize>, what: impl Into<String>) {
        self.mistakes.push(Mistake::at(self.file, self.text, Some(span), what));
    }

    fn name(&mut self, name: &Spanned<String>) {
        if !is_valid_name(name.get_ref()) {
            self.mistake(name.span(), "a name is 1 to 64 letters, digits, `-`, `_` and `.`");
        }
    }

    fn address(&mut self, text: &Spanned<String>) -> SocketAddr {
        text.get_ref().parse().unwrap_or_else(|_| {
            self.mistake(text.span(), "no address and port, such as `127.0.0.1:7001`");
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    fn voters(&mut self, texts: &[Spanned<String>]) -> Vec<SocketAddr> {
        let voters: Vec<SocketAddr> = texts.iter().map(|text| self.address(text)).collect();
        if !VOTER_COUNTS.contains(&voters.len()) {
            self.mistake(0..0, format!("`voters` has {} addresses; 1, 3 or 5 are wanted", voters.len()));
        }
        for (nth, address) in voters.iter().enumerate() {
            if voters[..nth].contains(address) {
                self.mistake(texts[nth].span(), "a second voter there");
            }
        }
        voters
    }

    fn index(&mut self, form: &FileForm, voters: &[SocketAddr], listen: SocketAddr) -> u16 {
        let Some(place) = &form.place else {
            let index = voters.iter().position(|voter| *voter == listen);
            return index.unwrap_or_else(|| {
                let what = "not among `voters`; give `place` where others reach it elsewhere";
                self.mistake(form.listen.span(), what);
                0
            }) as u16;
        };
        if (1..=voters.len()).contains(&usize::from(*place.get_ref())) {
            return *place.get_ref() - 1;
        }
        self.mistake(place.span(), format!("there are places 1 to {}", voters.len()));
        0
    }

    fn number(&mut self, value: &Spanned<f64>, allowed: RangeInclusive<f64>) -> f64 {
        if !allowed.contains(value.get_ref()) {
            let what = format!("must lie between {} and {}", allowed.start(), allowed.end());
            self.mistake(value.span(), what);
        }
        *value.get_ref()
    }

    fn milliseconds(&mut self, value: &Spanned<f64>, allowed: RangeInclusive<f64>) -> Micros {
        Micros((self.number(value, allowed) * 1000.0).round() as i64)
    }

    fn policy(&mut self, instances: &InstancesForm, waves: &WavesForm) -> Policy {
        let leases = LeasePolicy {
            duration: self.milliseconds(&instances.lease_ms, INSTANCE_LEASE_MS),
            guard_fraction: self.number(&instances.guard_part, FRACTION),
            guard_window: self.milliseconds(&instances.window_ms, GUARD_MS),
            guard_hold: self.milliseconds(&instances.hold_ms, GUARD_MS),
            retention: self.milliseconds(&instances.remember_ms, RETENTION_MS),
            rate: self.number(&instances.rate, CALLS_A_SECOND),
            burst: self.number(&instances.burst, BURST),
        };
        Policy {
            leases,
            max_unavailable: self.number(&waves.part, MAX_UNAVAILABLE),
            retained_commands: self.number(&waves.keep, RETAINED_COMMANDS) as usize,
            resend_after: RESEND_AFTER,
        }
    }
}

/// Reads the text of a settings file. `file` is its name in mistakes.
///
/// # Errors
///
/// All mistakes, in the order of the file.
pub fn read(file: &str, text: &str) -> Result<ControllerSettings, Vec<Mistake>> {
    let form: FileForm =
        toml::from_str(text).map_err(|e| vec![Mistake::at(file, text, e.span(), e.message())])?;
    let mut checker = Checker { file, text, mistakes: Vec::new() };
    checker.name(&form.fleet);
    checker.name(&form.name);
    let listen = checker.address(&form.listen);
    let voters = checker.voters(&form.voters);
    let index = checker.index(&form, &voters, listen);
    let owner_lease = checker.milliseconds(&form.lease_ms, OWNER_LEASE_MS);
    let policy = checker.policy(&form.instances, &form.waves);
    let mut mistakes = checker.mistakes;
    mistakes.sort_by_key(|mistake| (mistake.line, mistake.column));
    if !mistakes.is_empty() {
        return Err(mistakes);
    }
    Ok(ControllerSettings {
        parameters: Parameters::new(voters.len(), owner_lease),
        fleet: form.fleet.into_inner(),
        name: form.name.into_inner(),
        listen,
        state_folder: form.state,
        voters,
        index,
        policy,
    })
}

/// Reads the settings file at `path`.
///
/// # Errors
///
/// The file can't be read, or all mistakes in it, a line each.
pub fn load(path: &Path) -> Result<ControllerSettings, String> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    read(&name, &text)
        .map_err(|mistakes| mistakes.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
}
