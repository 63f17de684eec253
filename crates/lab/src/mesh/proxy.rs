//! A proxy's decisions without its sockets: beats, list, companies, claims and coats.
use std::collections::BTreeMap;

use notchspool::units::Micros;
use notchspool_data_plane::report_confirmation::ReportConfirmations;
use notchspool_data_plane::retry_budget::RetryBudget;
use notchspool_data_plane::service_balancer::{AttemptEnd, BalancerAction, ServiceBalancer};
use notchspool_endpoint_registry::departure_claim;
use notchspool_endpoint_registry::endpoint_list::EndpointList;
use notchspool_endpoint_registry::heartbeats::Departure;
use notchspool_endpoint_registry::heartbeats::{Event, Heartbeat, HeartbeatTracker};
use notchspool_endpoint_registry::recall::{DepartureHistory, Recollection};
use notchspool_idempotency::claim_proposal::{ClaimProposal, Outcome as ClaimOutcome};
use notchspool_idempotency::response_cache::{OperationState, ResponseCache};
use notchspool_mesh_protocol::text_transfer::TextStore;
use notchspool_mesh_protocol::{Claim, Endpoint, EndpointState, Payload, Ticket};

use super::departures::OpenDeparture;

/// A claim that is waited for.
pub struct Hand {
    pub key: String,
    pub ticket: Ticket,
    pub round: ClaimProposal,
    pub until: Micros,
    again_at: Micros,
}

pub struct Proxy {
    pub name: String,
    pub address: String,
    pub up: bool,
    pub boot_id: u64,
    pub version: u64,
    pub body: String,
    /// All versions that it had in this life.
    pub had: std::collections::BTreeSet<u64>,
    /// What a core has that isn't sure of it, and when it is asked for: its end of the link, the version.
    pub doubtful: Option<(Micros, u64, u64)>,
    pub heartbeats_sent: HeartbeatTracker,
    /// The backend goes on beating: id, draining, count of calls.
    pub backend: Option<(String, bool, u64)>,
    pub next_heartbeat: Micros,
    pub endpoint_list: EndpointList,
    pub balancer: ServiceBalancer,
    pub operations: ResponseCache<u64>,
    pub hands: BTreeMap<u64, Hand>,
    /// Who votes, and the number of that set.
    pub set: u64,
    pub voters: Vec<String>,
    pub followed: Option<usize>,
    pub line: u64,
    pub follow_at: Micros,
    /// Claims that run: when they are done.
    pub runs: Vec<(Micros, String)>,
    /// What the last request for a key was answered.
    pub answers: BTreeMap<String, String>,
    pub texts: TextStore,
    /// What the replicas recall of the backend, and which of them have taken what was reported of it.
    pub recollection: Recollection,
    pub departure_history: DepartureHistory,
    pub confirmations: ReportConfirmations,
    /// A departure of the backend that is to be acknowledged.
    pub departure: Option<OpenDeparture>,
    next: u64,
}

pub const HEARTBEAT_INTERVAL: Micros = Micros::ms(1_500);
const WINDOW: Micros = Micros::ms(62_000);

impl Proxy {
    pub fn new(name: &str, address: String, boot_id: u64, now: Micros) -> Proxy {
        let retry_budget = RetryBudget::new(0.2, 60.0, Micros::ms(10_000), 8, now);
        Proxy {
            name: name.into(),
            address,
            up: true,
            boot_id,
            version: 0,
            body: String::new(),
            had: Default::default(),
            doubtful: None,
            heartbeats_sent: HeartbeatTracker::awaiting_history(HEARTBEAT_INTERVAL, now),
            backend: None,
            next_heartbeat: now,
            endpoint_list: EndpointList::default(),
            balancer: ServiceBalancer::new("a", Micros::ms(2_000), boot_id, retry_budget, now),
            operations: ResponseCache::new(WINDOW, 1 << 20),
            hands: BTreeMap::new(),
            set: 0,
            voters: Vec::new(),
            followed: None,
            line: 0,
            follow_at: now,
            runs: Vec::new(),
            answers: BTreeMap::new(),
            texts: TextStore::new(2),
            recollection: Recollection::default(),
            departure_history: DepartureHistory::default(),
            confirmations: ReportConfirmations::default(),
            departure: None,
            next: 0,
        }
    }

    /// Its backend calls, and the replicas are told where that changes something.
    pub fn event(&mut self, now: Micros, event: Event) -> Option<Payload> {
        self.heartbeats_sent.apply(now, event).then(|| self.station()).flatten().map(Payload::Endpoint)
    }

    pub fn heartbeat_payload(&mut self, now: Micros) -> Option<Payload> {
        let (instance, draining, calls) = self.backend.as_mut()?;
        *calls += 1;
        let heartbeat_payload = Heartbeat {
            instance: instance.clone(),
            service: "s".into(),
            address: format!("{}:1", self.address),
            zone: "a".into(),
            slots: 6,
            draining: *draining,
            warmup: Micros(0),
            call_count: *calls,
        };
        self.event(now, Event::Heartbeat(heartbeat_payload))
    }

    pub fn station(&self) -> Option<Endpoint> {
        let own = self.heartbeats_sent.backend.as_ref()?;
        Some(Endpoint {
            instance: own.heartbeat.instance.clone(),
            service: own.heartbeat.service.clone(),
            proxy: self.address.clone(),
            boot_id: self.boot_id,
            zone: own.heartbeat.zone.clone(),
            slots: own.heartbeat.slots,
            state: own.state.into(),
            address: own.heartbeat.address.clone(),
            call_count: own.heartbeat.call_count,
            ..Endpoint::default()
        })
    }

    /// How an instance stands on its list.
    pub fn sees(&self, instance: &str) -> &'static str {
        match self.endpoint_list.get(instance).map(Endpoint::state) {
            None | Some(EndpointState::Unknown) => "none",
            Some(EndpointState::Ready) => "ready",
            Some(EndpointState::Draining) => "draining",
            Some(EndpointState::Left) => "left",
            Some(EndpointState::Missing) => "missed",
            Some(EndpointState::Away) => "away",
        }
    }

    /// The instances that a hundred draws come upon.
    pub fn draws(&mut self, now: Micros) -> Vec<String> {
        use notchspool_mesh_config::route_config::{Route, RouteKind, WeightedService};
        let route = Route {
            name: "r".into(),
            host: "h".into(),
            prefix: "/".into(),
            kind: RouteKind::Safe,
            timeout: Micros::ms(1_000),
            latency_target: Micros::ms(200),
            priority: 1,
            max_attempts: 2,
            traffic_split: vec![WeightedService { service: "s".into(), weight: 1.0 }],
        };
        let mut found = std::collections::BTreeSet::new();
        for _ in 0..100 {
            self.next += 1;
            let txn = notchspool::units::RequestId(self.next);
            let orders = self.balancer.begin(now, txn, &route, now + Micros::ms(1_000));
            if let Some(BalancerAction::Send(_, to)) =
                orders.iter().find(|o| matches!(o, BalancerAction::Send(..)))
            {
                found.insert(self.balancer.endpoint(*to).map_or(String::new(), |s| s.instance.clone()));
                let fate = notchspool::units::AttemptOutcome::Succeeded;
                let end = AttemptEnd { attempt: 0, outcome: fate, took: Micros::ms(20), is_final: true };
                self.balancer.on_attempt_end(now, txn, end);
            }
        }
        found.into_iter().collect()
    }

    /// Told of a set: true where it is a later one.
    pub fn learns(&mut self, set: &notchspool_mesh_protocol::VoterSet) -> bool {
        let later = set.number > self.set;
        if later {
            self.set = set.number;
            self.voters = set.members.iter().map(|m| m.address.clone()).collect();
            let (number, voters) = (self.set, self.voters.len());
            self.hands.values_mut().for_each(|h| h.round.on_set_changed(number, voters));
        }
        later
    }

    /// Claims that are asked anew under the set that is known now: of whom, and what.
    pub fn again(&mut self, now: Micros) -> Vec<(String, Claim)> {
        let mut again = Vec::new();
        for (id, hand) in
            self.hands.iter_mut().filter(|(_, h)| h.round.is_reconfiguring() && h.again_at <= now)
        {
            hand.again_at = now + Micros::ms(40);
            let claim = Claim {
                id: *id,
                key: hand.key.clone(),
                ticket: Some(hand.ticket),
                holder: self.address.clone(),
                holder_boot_id: self.boot_id,
                set_number: self.set,
                age_ms: 0,
            };
            let open = self.voters.iter().enumerate().filter(|(at, _)| hand.round.is_outstanding(*at));
            again.extend(open.map(|(_, address)| (address.clone(), claim.clone())));
        }
        again
    }

    /// Claims a key; none where it is known here.
    pub fn claim(&mut self, now: Micros, key: &str) -> Option<Payload> {
        if let Some(operation) = self.operations.get(key) {
            let answer = self.operation(operation);
            self.answers.insert(key.into(), answer);
            return None;
        }
        self.next += 1;
        let ticket = Ticket { boot_id: self.boot_id, number: self.next, attempt: 0 };
        self.operations.apply(now, key, notchspool_idempotency::response_cache::Event::Claim);
        let round = ClaimProposal::new(self.set, self.voters.len());
        let until = now + Micros::ms(400);
        let hand = Hand { key: key.into(), ticket, round, until, again_at: now };
        self.hands.insert(self.next, hand);
        self.answers.insert(key.into(), "open".into());
        Some(Payload::Claim(Claim {
            id: self.next,
            key: key.into(),
            ticket: Some(ticket),
            holder: self.address.clone(),
            holder_boot_id: self.boot_id,
            set_number: self.set,
            age_ms: 0,
        }))
    }

    /// Claims a departure of the backend here.
    pub fn claim_departure(&mut self, now: Micros, instance: &str, departure: Departure) -> Payload {
        self.next += 1;
        let (key, ticket) = (departure_claim::key(instance, departure), departure_claim::TICKET);
        let round = ClaimProposal::new(self.set, self.voters.len());
        let until = now + Micros::ms(400);
        let hand = Hand { key: key.clone(), ticket, round, until, again_at: now };
        self.hands.insert(self.next, hand);
        Payload::Claim(Claim {
            id: self.next,
            key,
            ticket: Some(ticket),
            holder: self.address.clone(),
            holder_boot_id: self.boot_id,
            set_number: self.set,
            age_ms: 0,
        })
    }

    pub fn operation(&self, operation: &OperationState<u64>) -> String {
        match operation {
            OperationState::Claiming | OperationState::Running => "409".into(),
            OperationState::Completed(run) => format!("run-{run}"),
            OperationState::Lost => "502".into(),
        }
    }

    /// Claims that have a verdict by now.
    pub fn verdicts(&mut self, now: Micros) -> Vec<(Hand, ClaimOutcome)> {
        let due: Vec<(u64, ClaimOutcome)> = self
            .hands
            .iter()
            .map(|(id, hand)| {
                // A change of the set is worth more patience.
                let more = Micros::ms(if hand.round.is_reconfiguring() { 800 } else { 0 });
                (*id, hand.round.outcome(now >= hand.until + more))
            })
            .filter(|(_, verdict)| *verdict != ClaimOutcome::Pending)
            .collect();
        due.into_iter().filter_map(|(id, verdict)| Some((self.hands.remove(&id)?, verdict))).collect()
    }
}
