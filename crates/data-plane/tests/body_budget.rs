//! Memory for the bodies of requests.
use notchspool::units::Micros;
use notchspool_data_plane::body_budget::{BodyBudget, BodyReservation, BudgetExhausted, MAX_SMALL_BYTES};

const MEMORY_MB: u64 = 260;
const MB: usize = 1 << 20;
const SHORT: Micros = Micros::ms(20);
const LONG: Micros = Micros::ms(10_000);

fn plays<F: Future<Output = ()>>(run: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, run);
}

async fn take(budget: &BodyBudget, bytes: usize, time: Micros) -> Result<BodyReservation, BudgetExhausted> {
    let mut reservation = BodyReservation::default();
    budget.extend(&mut reservation, bytes, time).await.map(|()| reservation)
}

#[test]
fn large_bodies_together_take_less_than_half_of_the_memory_and_small_ones_never_wait_for_them() {
    plays(async {
        let budget = BodyBudget::new(MEMORY_MB);
        let mut reservations = Vec::new();
        while let Ok(reservation) = take(&budget, 46 * MB, SHORT).await {
            reservations.push(reservation);
        }
        assert_eq!(reservations.len(), 2);
        assert!(budget.free_bytes() < 46 * MB);
        let small: Vec<BodyReservation> = vec![
            take(&budget, MAX_SMALL_BYTES, SHORT).await.unwrap(),
            take(&budget, 1, SHORT).await.unwrap(),
        ];
        assert_eq!(small[0].bytes(), MAX_SMALL_BYTES);
        reservations.pop();
        take(&budget, 46 * MB, SHORT).await.expect("what was given back can be had");
    });
}

#[test]
fn who_waits_gets_memory_as_soon_as_it_is_given_back() {
    plays(async {
        let budget = BodyBudget::new(MEMORY_MB);
        let first = take(&budget, 100 * MB, SHORT).await.unwrap();
        let give_back = async {
            tokio::task::yield_now().await;
            drop(first);
        };
        let (second, ()) = tokio::join!(take(&budget, 100 * MB, LONG), give_back);
        assert_eq!(second.unwrap().bytes(), 100 * MB);
    });
}

#[test]
fn a_body_that_is_larger_than_the_budget_has_all_of_it_alone() {
    plays(async {
        let budget = BodyBudget::new(16);
        let reservation = take(&budget, 64 * MB, SHORT).await.unwrap();
        assert_eq!(budget.free_bytes(), 0);
        assert!(take(&budget, 2 * MAX_SMALL_BYTES, SHORT).await.is_err());
        drop(reservation);
        assert!(take(&budget, 2 * MAX_SMALL_BYTES, SHORT).await.is_ok());
    });
}

#[test]
fn a_body_without_a_length_is_reserved_for_step_by_step_and_keeps_what_it_has_where_there_is_no_more() {
    plays(async {
        let budget = BodyBudget::new(MEMORY_MB);
        let mut reservation = take(&budget, 60 * MB, SHORT).await.unwrap();
        let other = take(&budget, 50 * MB, SHORT).await.unwrap();
        assert_eq!(budget.extend(&mut reservation, 70 * MB, SHORT).await, Err(BudgetExhausted));
        assert_eq!(reservation.bytes(), 60 * MB);
        drop(other);
        budget.extend(&mut reservation, 70 * MB, SHORT).await.unwrap();
        assert_eq!(reservation.bytes(), 70 * MB);
    });
}
