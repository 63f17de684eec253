//! A replica of an earlier build, which tells no departures. It recalls of a backend what a test wants it to, and answers pings and claims as long as the test wants it to.
use std::cell::{Cell, RefCell};
use std::rc::Rc;

use notchspool_mesh_protocol::{
    Claim, ClaimReply, ClaimVote, DepartureReport, Endpoint, Member, Payload, VoterSet, Welcome,
};
use notchspool_runtime::frame_connection::{self, FrameSender};
use tokio::net::{TcpListener, TcpStream};

/// Where a replica listens for other processes of the mesh.
const PEER_PORT: u16 = 7620;
const SET_NUMBER: u64 = 1;

/// One stand-in; clones are the same one.
#[derive(Clone)]
pub struct StandInReplica(Rc<State>);

struct State {
    voters: Vec<String>,
    /// Among the voters.
    position: usize,
    recalled: Option<Endpoint>,
    /// Told before each welcome; a replica of an earlier build tells none.
    departures: Option<DepartureReport>,
    /// It answers pings and claims.
    answers: Cell<bool>,
    /// What proxies have reported, in order.
    reported: RefCell<Vec<Endpoint>>,
}

impl StandInReplica {
    /// Listens at `voter_ips[position]`, as a voter of the set of all of them.
    pub async fn start(voter_ips: &[String], position: usize, recalled: Option<Endpoint>) -> StandInReplica {
        StandInReplica::start_telling(voter_ips, position, recalled, None).await
    }

    /// The same for one that tells these departures.
    pub async fn start_telling(
        voter_ips: &[String],
        position: usize,
        recalled: Option<Endpoint>,
        departures: Option<DepartureReport>,
    ) -> StandInReplica {
        let listener = TcpListener::bind((voter_ips[position].as_str(), PEER_PORT)).await.unwrap();
        let voters = voter_ips.iter().map(|ip| format!("{ip}:{PEER_PORT}")).collect();
        let answers = Cell::new(true);
        let replica = StandInReplica(Rc::new(State {
            voters,
            position,
            recalled,
            departures,
            answers,
            reported: RefCell::default(),
        }));
        let serving = replica.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(serving.clone().carry(stream));
            }
        });
        replica
    }

    /// Whether pings are answered from now on.
    pub fn set_answers(&self, answers: bool) {
        self.0.answers.set(answers);
    }

    /// What proxies have reported.
    pub fn reported(&self) -> Vec<Endpoint> {
        self.0.reported.borrow().clone()
    }

    async fn carry(self, stream: TcpStream) {
        let sender = FrameSender::default();
        let on_message = |payload| match payload {
            Payload::Hello(_) => {
                self.0.departures.iter().for_each(|report| {
                    sender.send(Payload::DepartureReport(report.clone()));
                });
                sender.send(Payload::Welcome(self.welcome()));
            }
            Payload::Ping(ping) if self.0.answers.get() => drop(sender.send(Payload::Pong(ping))),
            Payload::Claim(claim) if self.0.answers.get() => drop(sender.send(self.grant(&claim))),
            Payload::Endpoint(endpoint) => self.0.reported.borrow_mut().push(endpoint),
            _ => {}
        };
        frame_connection::run(stream, sender.clone(), None, on_message).await;
    }

    /// Every claim is granted.
    fn grant(&self, claim: &Claim) -> Payload {
        let (vote, voter, set_number) = (ClaimVote::Granted.into(), self.0.position as u32, SET_NUMBER);
        let (id, ticket) = (claim.id, claim.ticket);
        Payload::ClaimReply(ClaimReply { id, vote, ticket, voter, set_number, ..ClaimReply::default() })
    }

    fn welcome(&self) -> Welcome {
        let member = |address: &String| Member { address: address.clone(), incarnation: 1, zone: "a".into() };
        let members = self.0.voters.iter().map(member).collect();
        Welcome {
            voters: self.0.voters.clone(),
            own_position: u32::MAX,
            zone: "a".into(),
            recalled: self.0.recalled.clone(),
            voter_set: Some(VoterSet { number: SET_NUMBER, members }),
            ..Welcome::default()
        }
    }
}
