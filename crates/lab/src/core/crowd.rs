//! The clients: what they want and when, how long they wait, and whether they ask again. All of it follows from
//! the seed alone, never from what the agents do, so that two arms get the same day.
use oorandom::Rand64;

use super::kit::*;
use super::ledger::Final;

#[derive(Clone, Debug)]
pub struct Scheme {
    pub name: String,
    pub kind: RequestKind,
    pub group: DeduplicationScope,
    pub window: Micros,
    pub sla: Micros,
    pub expiry: Micros,
    pub value: f64,
    /// What an answer after the SLA time still earns.
    pub overdue: f64,
    pub share: f64,
    /// Work is drawn between these.
    pub work: (Micros, Micros),
    /// The pool that serves it.
    pub pool: usize,
}

/// More or less traffic than usual, for a while.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    pub from: Micros,
    pub until: Micros,
    pub times: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Again {
    Never,
    /// At once, this often at the most.
    AtOnce(u32),
    /// After a wait of up to this, this often at the most.
    After(Micros, u32),
}

#[derive(Clone, Debug)]
pub struct Habits {
    /// Txns a second, all agents together. With `clients` set it is not read.
    pub rate: f64,
    /// So many clients, each with its next txn as soon as the last is answered.
    pub clients: Option<usize>,
    pub bursts: Vec<Burst>,
    /// A client waits for this part of its scheme's expiry, between these.
    pub patience: (f64, f64),
    /// Part of the clients that leave earlier than they said.
    pub leavers: f64,
    pub again: Again,
    /// Shares of the tenants.
    pub tenants: Vec<f64>,
    /// Shares of the agents.
    pub agents: Vec<f64>,
}

/// One order: the same for every arm of an experiment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Order {
    pub id: OrderId,
    pub due: Micros,
    pub scheme: ClassId,
    pub tenant: usize,
    pub agent: AgentId,
    pub work: Micros,
    pub reference: RefId,
    pub expires_in: Micros,
    /// The client goes away this long after it asked, whatever it said.
    pub leaves_in: Option<Micros>,
}

/// All orders of a run in order of time. With clients that wait for their answer `due` is nothing: the driver
/// gives each client its next.
pub fn orders(habits: &Habits, schemes: &[Scheme], span: Micros, most: usize, seed: u64) -> Vec<Order> {
    let mut chance = Rand64::new(u128::from(mixed(seed, &[11])));
    let mut orders = Vec::new();
    let top = habits.bursts.iter().map(|b| b.times).fold(1.0, f64::max);
    let mut at = 0.0;
    while orders.len() < most {
        let mut due = Micros(0);
        if habits.clients.is_none() {
            // Thinned from the highest rate, so that a burst leaves the rest of the day as it was.
            at += waiting(&mut chance, 1e6 / (habits.rate * top));
            due = Micros(at as i64);
            if due >= span {
                break;
            }
            let times: f64 =
                habits.bursts.iter().filter(|b| b.from <= due && due < b.until).map(|b| b.times).product();
            if chance.rand_float() * top >= times {
                continue;
            }
        }
        orders.push(order(habits, schemes, OrderId(orders.len() as u64), due, seed));
    }
    orders
}

fn order(habits: &Habits, schemes: &[Scheme], id: OrderId, due: Micros, seed: u64) -> Order {
    let lot = |n: u64| lot(seed, &[id.0, n]);
    let between = |n, (low, high): (f64, f64)| low + (high - low) * lot(n);
    let scheme = by_weight(schemes.iter().map(|s| s.share), lot(1)).unwrap_or(0);
    let row = &schemes[scheme];
    let expires_in = row.expiry.times(between(4, habits.patience)).max(Micros::ms(1));
    Order {
        id,
        due,
        scheme: ClassId(scheme),
        tenant: by_weight(habits.tenants.iter().copied(), lot(2)).unwrap_or(0),
        agent: AgentId(by_weight(habits.agents.iter().copied(), lot(3)).unwrap_or(0)),
        work: Micros(between(5, (row.work.0.0 as f64, row.work.1.0 as f64)) as i64),
        reference: RefId(mixed(seed, &[id.0, 6])),
        // Whole milliseconds, as they are told.
        expires_in: Micros(expires_in.0 / 1000 * 1000),
        leaves_in: (lot(7) < habits.leavers).then(|| expires_in.times(between(8, (0.1, 0.9)))),
    }
}

/// Whether and when a client asks again, after its try number `tries` (from 1) came to this end. A once-only
/// order that may have run is not the client's to repeat.
pub fn again(
    habits: &Habits,
    order: &Order,
    kind: RequestKind,
    answer: Option<Final>,
    tries: u32,
    told: Option<Micros>,
) -> Option<Micros> {
    let harmless =
        answer == Some(Final::Declined) || (answer.is_some() && kind != RequestKind::NonIdempotent);
    if answer == Some(Final::Settled) || !harmless {
        return None;
    }
    let wait = match habits.again {
        Again::Never => return None,
        Again::AtOnce(most) if tries <= most => Micros(0),
        Again::After(wait, most) if tries <= most => {
            told.unwrap_or(Micros(0)).max(wait.times(lot(order.reference.0, &[u64::from(tries)])))
        }
        _ => return None,
    };
    Some(wait)
}

/// A number for all orders together: equal where the arms got the same day.
pub fn digest(orders: &[Order]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    for o in orders {
        let fields =
            [o.id.0, o.due.0 as u64, o.scheme.0 as u64, o.tenant as u64, o.agent.0 as u64, o.work.0 as u64];
        fields.iter().for_each(|field| sum.update(&field.to_le_bytes()));
        sum.update(&o.reference.0.to_le_bytes());
        sum.update(&o.expires_in.0.to_le_bytes());
    }
    sum.finalize()
}
