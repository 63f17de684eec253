//! A controller's settings file: its defaults, and its mistakes with their places.
use rstest::rstest;

use notchspool::units::Micros;
use notchspool_fleet_controller::settings::read;

const SOUND: &str = "fleet = \"f\"\nname = \"k1\"\nlisten = \"127.0.0.1:7001\"\nstate = \"s\"\n\
                     voters = [\"127.0.0.1:7001\", \"127.0.0.2:7001\", \"127.0.0.3:7001\"]\n";

#[test]
fn a_sound_file_gives_the_index_of_the_controller() {
    let settings = read("k", SOUND).expect("sound");
    assert_eq!(
        (settings.index, settings.parameters.voters, settings.parameters.lease),
        (0, 3, Micros::ms(3000))
    );
    assert_eq!(read("k", &format!("{SOUND}place = 3\n")).expect("sound").index, 2);
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
fn a_senseless_field_is_named(#[case] from: &str, #[case] to: &str, #[case] word: &str) {
    let mistakes = read("k", &SOUND.replacen(from, to, 1)).expect_err("a mistake");
    let all = mistakes.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n");
    assert!(all.contains(word), "{all}");
}
