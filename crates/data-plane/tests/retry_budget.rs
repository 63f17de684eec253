//! Retries of all proxies together.
use notchspool::units::Micros;
use notchspool_data_plane::retry_budget::RetryBudget;

#[test]
fn all_proxies_together_stay_within_part_and_slack() {
    let (ratio, slack, window) = (0.2, 60.0, Micros::ms(10_000));
    let now = Micros::ms(1);
    let mut budgets = vec![RetryBudget::new(ratio, slack, window, 16, now); 16];
    let (mut requests, mut spent) = (0, 0);
    for n in 0..4_000 {
        let budget = &mut budgets[n % 16];
        budget.on_request(now);
        requests += 1;
        while budget.try_spend() {
            spent += 1;
        }
    }
    assert!(f64::from(spent) <= ratio * f64::from(requests) + slack, "{spent} of {requests}");
    assert!(spent > 300, "{spent}");
}

#[test]
fn who_starts_anew_has_nothing() {
    assert!(!RetryBudget::new(0.2, 60.0, Micros::ms(10_000), 1, Micros(1)).try_spend());
}
