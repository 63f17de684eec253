//! The count of what is in flight at the backend, whatever becomes of those that wait for a slot.
use std::path::Path;
use std::rc::Rc;

use notchspool::units::Micros;
use notchspool_data_plane::admission::Candidate;
use notchspool_data_plane::backend_queue::{BackendQueue, Slot};
use notchspool_data_plane::context::Context;
use notchspool_data_plane::local_backend::LocalBackend;
use notchspool_data_plane::work_kind::WorkKind;
use notchspool_endpoint_registry::heartbeats::{Event, Heartbeat};
use notchspool_runtime::node_settings::NodeSettings;
use oorandom::Rand64;
use tokio::task::{JoinHandle, spawn_local, yield_now};

const SETTINGS: &str = r#"{"node":"n","zone":"a","ipAddress":"127.0.0.1","portRange":[7620,7635],"listenAddresses":{},"seedNodes":[],
    "firstStart":true,"dataPath":null,"beatIntervalS":1.5,"bounds":["drainS=2","graceS=6"],"limits":{"memoryMb":64},
    "appAddress":"127.0.0.1:8301","service":"s"}"#;
const SLOTS: u32 = 2;

struct Bench {
    context: Rc<Context>,
    backend: Rc<LocalBackend>,
    queue: Rc<BackendQueue>,
}

impl Bench {
    fn new() -> Bench {
        let settings = NodeSettings::parse(Path::new("settings"), SETTINGS.as_bytes()).unwrap();
        let context = Rc::new(Context::new(settings, 1));
        let backend = Rc::new(LocalBackend::new(context.clone()));
        backend.apply(Event::HistoryKnown);
        backend.apply(Event::Heartbeat(Heartbeat {
            instance: "i-1".into(),
            service: "s".into(),
            address: "127.0.0.1:8301".into(),
            zone: "a".into(),
            slots: SLOTS,
            draining: false,
            warmup: Micros(0),
            call_count: 1,
        }));
        let queue = Rc::new(BackendQueue::new(context.clone(), backend.clone()));
        Bench { context, backend, queue }
    }

    /// Enters with a task of its own.
    fn enter(&self, priority: u32) -> JoinHandle<Option<Slot>> {
        let now = self.context.now();
        let candidate = Candidate {
            call_depth: 0,
            priority,
            kind: WorkKind { priority, latency_target_ms: 800 },
            target_at: now + Micros::ms(600_000),
            deadline: now + Micros::ms(900_000),
        };
        let queue = self.queue.clone();
        spawn_local(async move { queue.enter(candidate).await.ok() })
    }

    fn in_flight(&self) -> usize {
        self.backend.admission().in_flight()
    }

    fn queued(&self) -> usize {
        self.backend.admission().queued()
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

async fn settle() {
    for _ in 0..20 {
        yield_now().await;
    }
}

#[test]
fn who_is_displaced_has_no_slot_to_give_back() {
    run(async {
        let bench = Bench::new();
        let mut first: Vec<_> = (0..SLOTS).map(|_| bench.enter(1)).collect();
        let patient: Vec<_> = (0..4 * SLOTS).map(|_| bench.enter(2)).collect();
        settle().await;
        assert_eq!((bench.in_flight(), bench.queued()), (2, 8));
        let urgent = bench.enter(0);
        settle().await;
        assert_eq!((bench.in_flight(), bench.queued()), (2, 8));
        let displaced: Vec<_> = patient.iter().filter(|waiting| waiting.is_finished()).collect();
        assert_eq!(displaced.len(), 1);
        // The first to be done makes room for the urgent one, and for nobody else.
        drop(first.remove(0).await.unwrap());
        settle().await;
        assert!(urgent.is_finished());
        assert_eq!((bench.in_flight(), bench.queued()), (2, 7));
    });
}

#[test]
fn whoever_waits_is_sent_away_without_a_slot() {
    run(async {
        let bench = Bench::new();
        let running: Vec<_> = (0..SLOTS).map(|_| bench.enter(1)).collect();
        let waiting: Vec<_> = (0..3).map(|_| bench.enter(1)).collect();
        settle().await;
        bench.queue.clear();
        for waiting in waiting {
            assert!(waiting.await.unwrap().is_none());
        }
        assert_eq!((bench.in_flight(), bench.queued()), (2, 0));
        for running in running {
            drop(running.await.unwrap());
        }
        assert_eq!(bench.in_flight(), 0);
    });
}

/// Requests come, end, are displaced and given up at any moment: slots held and the count are the same, and there are never too many.
#[test]
fn slots_held_are_those_that_are_counted_over_drawn_histories() {
    for seed in 0..200 {
        run(async move {
            let (bench, mut random) = (Bench::new(), Rand64::new(seed));
            let mut tasks: Vec<JoinHandle<Option<Slot>>> = Vec::new();
            let mut held: Vec<Slot> = Vec::new();
            for _ in 0..150 {
                match random.rand_float() {
                    chance if chance < 0.45 => tasks.push(bench.enter(random.rand_range(0..3) as u32)),
                    chance if chance < 0.75 && !held.is_empty() => {
                        let index = random.rand_range(0..held.len() as u64) as usize;
                        drop(held.swap_remove(index));
                    }
                    chance if chance < 0.9 && !tasks.is_empty() => {
                        // Its client leaves: while it waits, or as it is let in.
                        let index = random.rand_range(0..tasks.len() as u64) as usize;
                        tasks.swap_remove(index).abort();
                    }
                    _ => settle().await,
                }
                if random.rand_float() < 0.5 {
                    settle().await;
                    let (done, open) = tasks.into_iter().partition(|task| task.is_finished());
                    tasks = open;
                    for task in done {
                        let entered: JoinHandle<Option<Slot>> = task;
                        held.extend(entered.await.ok().flatten());
                    }
                    assert_eq!(held.len(), bench.in_flight(), "seed {seed}");
                    assert!(held.len() <= SLOTS as usize, "seed {seed}");
                }
            }
            tasks.iter().for_each(JoinHandle::abort);
            settle().await;
            for task in tasks {
                held.extend(task.await.ok().flatten());
            }
            drop(held);
            assert_eq!((bench.in_flight(), bench.queued()), (0, 0), "seed {seed}");
        });
    }
}
