//! What balancers tell one another of tenants and of idle connections.
use notchspool::tenant_rates::TenantRates;
use notchspool::units::Micros;

const NEVER: Micros = Micros(i64::MAX);

#[test]
fn one_in_ten_that_was_misled_has_nobody_close_healthy_connections() {
    let mut rates = TenantRates::new(0);
    assert_eq!(rates.idle_trust(), NEVER);
    let (minute, fifth) = ("1100 0", "530 0");
    (0..200).for_each(|n| rates.on_peer_rates(if n % 10 == 0 { fifth } else { minute }));
    assert!(rates.idle_trust() > Micros::ms(15_000), "{:?}", rates.idle_trust());
    (0..200).for_each(|_| rates.on_peer_rates(fifth));
    assert!((190..210).contains(&(rates.idle_trust().0 / 1000)), "{:?}", rates.idle_trust());
}
