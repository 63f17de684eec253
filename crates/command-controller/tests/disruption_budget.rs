//! How many instances may be unavailable at once.
use notchspool_command_controller::disruption_budget::DisruptionBudget;

#[test]
fn a_fraction_of_a_zone_and_of_the_fleet_may_be_unavailable_and_one_always() {
    let mut budget = DisruptionBudget::default();
    (0..8).for_each(|n| budget.add_instance(if n < 4 { "a" } else { "b" }, false));
    assert!(budget.allows("a", 0.25));
    budget.take("a");
    assert!(!budget.allows("a", 0.25), "a quarter of four is one");
    assert!(budget.allows("b", 0.25));
    budget.take("b");
    assert!(!budget.allows("b", 0.25));
    assert!(budget.allows("b", 1.0));
    let mut single = DisruptionBudget::default();
    single.add_instance("a", false);
    assert!(single.allows("a", 0.01));
}
