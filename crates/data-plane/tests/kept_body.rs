//! Bodies of answers that are kept whole.
use bytes::Bytes;
use notchspool_data_plane::body_budget::{BudgetExhausted, MemoryBudget};
use notchspool_data_plane::kept_body::KeptBody;
use oorandom::Rand64;

const MB: usize = 1 << 20;
/// The budget is a tenth of it.
const MEMORY_MB: u64 = 100;
const BUDGET_BYTES: usize = 10 * MB;

fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    runtime.block_on(test);
}

async fn keep(
    pieces: &[Bytes],
    is_length_known: bool,
    budget: &MemoryBudget,
) -> Result<(Bytes, notchspool_data_plane::body_budget::BodyReservation), BudgetExhausted> {
    let length = pieces.iter().map(Bytes::len).sum();
    let mut kept = KeptBody::new(is_length_known.then_some(length), Some(budget));
    for piece in pieces {
        kept.push(piece.clone()).await?;
    }
    kept.finish().await
}

#[test]
fn drawn_pieces_are_joined_in_order_and_what_is_large_is_reserved_for() {
    run(async {
        for seed in 0..60 {
            let mut random = Rand64::new(seed);
            let pieces: Vec<Bytes> = (0..random.rand_range(0..60))
                .map(|_| {
                    let length = random.rand_range(1..16_384);
                    Bytes::from((0..length).map(|_| random.rand_u64() as u8).collect::<Vec<u8>>())
                })
                .collect();
            let all = pieces.concat();
            let budget = MemoryBudget::for_answers(MEMORY_MB);
            for is_length_known in [false, true] {
                let (body, memory) = keep(&pieces, is_length_known, &budget).await.unwrap();
                assert_eq!(body, all, "seed {seed}");
                let is_reserved_for = memory.bytes() >= all.len();
                assert!(
                    is_reserved_for || all.len() <= 64 << 10,
                    "seed {seed}: {} of {}",
                    memory.bytes(),
                    all.len()
                );
                drop(memory);
                assert_eq!(budget.free_bytes(), BUDGET_BYTES, "seed {seed}: given back");
            }
        }
    });
}

#[test]
fn a_body_for_which_there_is_no_memory_is_given_up_and_one_that_is_larger_than_all_of_it_is_kept_alone() {
    run(async {
        let budget = MemoryBudget::for_answers(MEMORY_MB);
        let pieces = vec![Bytes::from(vec![7; 16 << 10]); 16 * MB / (16 << 10)];
        for is_length_known in [false, true] {
            let first = keep(&pieces, is_length_known, &budget).await.expect("alone");
            assert_eq!((first.0.len(), budget.free_bytes()), (16 * MB, 0));
            assert_eq!(keep(&pieces, is_length_known, &budget).await.err(), Some(BudgetExhausted));
            let small = keep(&pieces[..4], is_length_known, &budget).await.expect("small ones need none");
            assert_eq!(small.1.bytes(), 0);
            drop(first);
            assert_eq!(budget.free_bytes(), BUDGET_BYTES);
        }
    });
}
