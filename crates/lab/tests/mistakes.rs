//! A bad experiment gets an error that names file, line, column and the word. The first lines of each file say,
//! behind `#= `, what is wanted, a line a mistake.
use std::path::PathBuf;

use notchspool_lab::plan::{read, ship};
use rstest::rstest;

#[rstest]
fn is_named(#[files("tests/mistakes/*.toml")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("a file");
    let wanted: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("#= ")).collect();
    let wrong = read::read("it.toml", &text, None).expect_err("a mistake is found");
    let found: Vec<String> = wrong.iter().map(ToString::to_string).collect();
    assert_eq!(found, wanted);
}

#[test]
fn what_ships_can_be_read_and_is_the_same_for_the_same_seed() {
    use notchspool_lab::core::crowd::{digest, orders};
    for (name, text) in ship::SHIPPED {
        let of = |seed| {
            let plan = read::read(name, text, seed).unwrap_or_else(|wrong| panic!("{}", wrong[0]));
            digest(&orders(&plan.habits, &plan.schemes, plan.span, plan.most_orders, plan.seed))
        };
        assert_eq!(of(Some(7)), of(Some(7)), "{name}");
        assert_ne!(of(Some(7)), of(Some(8)), "{name}");
    }
}
