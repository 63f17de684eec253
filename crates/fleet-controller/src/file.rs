//! A keeper's file. Every field has a stated default or has to be there; all mistakes are told at once, each with its place.
use std::net::SocketAddr;
use std::path::PathBuf;

use notchspool::units::Micros;
use notchspool_consensus::Parameters;
use notchspool_leases::lease_table;
use notchspool_settings::place::Mistake;
use serde::Deserialize;
use toml::Spanned;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Form {
    fleet: Spanned<String>,
    name: Spanned<String>,
    listen: Spanned<String>,
    state: PathBuf,
    /// All keepers, in the same order in every file of the fleet.
    voters: Vec<Spanned<String>>,
    /// Its own place among them, counted from 1; else where `listen` stands.
    place: Option<Spanned<u16>>,
    #[serde(default = "lease")]
    lease_ms: Spanned<f64>,
    #[serde(default)]
    instances: Instances,
    #[serde(default)]
    waves: Waves,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Instances {
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
struct Waves {
    part: Spanned<f64>,
    keep: Spanned<f64>,
}

fn bare(value: f64) -> Spanned<f64> {
    Spanned::new(0..0, value)
}
fn lease() -> Spanned<f64> {
    bare(3_000.0)
}
impl Default for Instances {
    fn default() -> Instances {
        Instances {
            lease_ms: bare(3_000.0),
            guard_part: bare(0.15),
            window_ms: bare(10_000.0),
            hold_ms: bare(60_000.0),
            remember_ms: bare(600_000.0),
            rate: bare(2_000.0),
            burst: bare(400.0),
        }
    }
}
impl Default for Waves {
    fn default() -> Waves {
        Waves { part: bare(0.25), keep: bare(200.0) }
    }
}

/// What the file says.
#[derive(Clone, Debug)]
pub struct File {
    pub fleet: String,
    pub name: String,
    pub listen: SocketAddr,
    pub state: PathBuf,
    pub voters: Vec<SocketAddr>,
    /// Its own place among them, from 0.
    pub place: u16,
    pub terms: Parameters,
    pub office: notchspool_command_controller::Terms,
}

/// Whether a text may name a fleet or a process of it.
pub fn is_name(text: &str) -> bool {
    let letters = text.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
    !text.is_empty() && text.len() <= 64 && letters
}

/// Reads the text. `file` is what it is called in mistakes.
pub fn read(file: &str, text: &str) -> Result<File, Vec<Mistake>> {
    let form: Form =
        toml::from_str(text).map_err(|e| vec![Mistake::at(file, text, e.span(), e.message())])?;
    let mut wrong: Vec<Mistake> = Vec::new();
    let mut say = |span: std::ops::Range<usize>, what: String| {
        wrong.push(Mistake::at(file, text, Some(span), what));
    };
    for name in [&form.fleet, &form.name] {
        if !is_name(name.get_ref()) {
            say(name.span(), "a name is 1 to 64 letters, digits, `-`, `_` and `.`".into());
        }
    }
    let mut address = |at: &Spanned<String>| {
        let read: Option<SocketAddr> = at.get_ref().parse().ok();
        if read.is_none() {
            say(at.span(), "no address and port, such as `127.0.0.1:7001`".into());
        }
        read.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    };
    let listen = address(&form.listen);
    let voters: Vec<SocketAddr> = form.voters.iter().map(&mut address).collect();
    if ![1, 3, 5].contains(&voters.len()) {
        say(0..0, format!("`voters` has {} addresses; 1, 3 or 5 are wanted", voters.len()));
    }
    for (nth, at) in voters.iter().enumerate() {
        if voters[..nth].contains(at) {
            say(form.voters[nth].span(), "a second voter there".into());
        }
    }
    let place = match &form.place {
        Some(place) if (1..=voters.len()).contains(&usize::from(*place.get_ref())) => *place.get_ref() - 1,
        Some(place) => {
            say(place.span(), format!("there are places 1 to {}", voters.len()));
            0
        }
        None => voters.iter().position(|v| *v == listen).unwrap_or_else(|| {
            say(
                form.listen.span(),
                "not among `voters`; give `place` where others reach it elsewhere".into(),
            );
            0
        }) as u16,
    };
    let mut within = |value: &Spanned<f64>, low: f64, high: f64| {
        if !(low..=high).contains(value.get_ref()) {
            say(value.span(), format!("must lie between {low} and {high}"));
        }
        *value.get_ref()
    };
    let ms = |ms: f64| Micros((ms * 1000.0).round() as i64);
    let lease = ms(within(&form.lease_ms, 200.0, 60_000.0));
    let (i, w) = (&form.instances, &form.waves);
    let leases = lease_table::LeasePolicy {
        duration: ms(within(&i.lease_ms, 200.0, 600_000.0)),
        guard_fraction: within(&i.guard_part, 0.0, 1.0),
        guard_window: ms(within(&i.window_ms, 0.0, 3_600_000.0)),
        guard_hold: ms(within(&i.hold_ms, 0.0, 3_600_000.0)),
        retention: ms(within(&i.remember_ms, 1_000.0, 86_400_000.0)),
        rate: within(&i.rate, 0.1, 1e6),
        burst: within(&i.burst, 1.0, 1e6),
    };
    let office = notchspool_command_controller::Terms {
        leases,
        part: within(&w.part, 0.001, 1.0),
        keep: within(&w.keep, 1.0, 1_000.0) as usize,
        again: Micros::ms(500),
    };
    wrong.sort_by_key(|w| (w.line, w.column));
    if !wrong.is_empty() {
        return Err(wrong);
    }
    let terms = Parameters::new(voters.len(), lease);
    let (fleet, name) = (form.fleet.into_inner(), form.name.into_inner());
    Ok(File { fleet, name, listen, state: form.state, voters, place, terms, office })
}

/// Reads the file at `path`; mistakes come as lines.
pub fn told(path: &std::path::Path) -> Result<File, String> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    read(&name, &text).map_err(|wrong| wrong.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    const SOUND: &str = "fleet = \"f\"\nname = \"k1\"\nlisten = \"127.0.0.1:7001\"\nstate = \"s\"\n\
                         voters = [\"127.0.0.1:7001\", \"127.0.0.2:7001\", \"127.0.0.3:7001\"]\n";

    #[test]
    fn a_sound_file_says_where_it_stands() {
        let file = read("k", SOUND).expect("sound");
        assert_eq!((file.place, file.terms.voters, file.terms.lease), (0, 3, Micros::ms(3000)));
        assert_eq!(read("k", &format!("{SOUND}place = 3\n")).expect("sound").place, 2);
    }

    #[rstest]
    #[case("fleet = \"f\"", "fleet = \"f f\"", "k:1:9")]
    #[case("127.0.0.1:7001\"\nstate", "127.0.0.9:7001\"\nstate", "not among")]
    #[case("127.0.0.2:7001", "127.0.0.1:7001", "second voter")]
    #[case(", \"127.0.0.3:7001\"", "", "1, 3 or 5")]
    #[case("state", "place = 4\nstate", "places 1 to 3")]
    #[case("state", "lease_ms = 1\nstate", "between 200 and 60000")]
    #[case("state", "leese_ms = 1\nstate", "unknown field")]
    #[case("127.0.0.2:7001", "localhost", "no address")]
    fn what_makes_no_sense_is_named(#[case] from: &str, #[case] to: &str, #[case] word: &str) {
        let wrong = read("k", &SOUND.replacen(from, to, 1)).expect_err("a mistake");
        let all = wrong.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n");
        assert!(all.contains(word), "{all}");
    }
}
