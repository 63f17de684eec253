//! Claims of keys at the voters.
use std::path::Path;
use std::rc::Rc;

use notchspool_data_plane::claim_client::ClaimClient;
use notchspool_data_plane::context::Context;
use notchspool_data_plane::replicas::{Replica, Replicas};
use notchspool_idempotency::claim_proposal::Outcome;
use notchspool_mesh_protocol::{ClaimReply, ClaimVote, KnownVersion, Ticket};
use notchspool_runtime::frame_connection::FrameSender;
use notchspool_runtime::node_settings::NodeSettings;
use tokio::task::{spawn_local, yield_now};

const SETTINGS: &str = r#"{"node":"n","zone":"a","ipAddress":"127.0.0.1","portRange":[7620,7635],"listenAddresses":{},"seedNodes":[],
    "firstStart":true,"dataPath":null,"beatIntervalS":1.5,"bounds":["drainS=2","graceS=6"],"limits":{"memoryMb":64},
    "appAddress":"127.0.0.1:8301","service":"s"}"#;
const SET_NUMBER: u64 = 1;

/// Claims at two voters, whose connections lead nowhere.
fn claim_client() -> Rc<ClaimClient> {
    let settings = NodeSettings::parse(Path::new("settings"), SETTINGS.as_bytes()).unwrap();
    let replicas = Rc::new(Replicas::default());
    let voters = ["r-1".to_string(), "r-2".to_string()];
    replicas.set_voters(SET_NUMBER, &voters);
    for address in &voters {
        let (sender, zone) = (FrameSender::default(), "a".to_string());
        replicas.add(address, Replica { sender, zone, known_version: KnownVersion::default() });
    }
    Rc::new(ClaimClient::new(Rc::new(Context::new(settings, 1)), replicas))
}

fn ticket(number: u64) -> Ticket {
    Ticket { boot_id: 1, number, attempt: 0 }
}

/// This voter grants the claim that was the n-th to begin here: claims are numbered from 1.
fn grant(claims: &ClaimClient, claim: u64, voter: u32) {
    let vote = ClaimVote::Granted.into();
    claims.on_reply(ClaimReply { id: claim, voter, vote, set_number: SET_NUMBER, ..ClaimReply::default() });
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Whoever left while its claim was open left the entry behind; at 10,000 of them a proxy refused all keyed requests for good.
#[test]
fn a_claim_whose_request_is_dropped_leaves_nothing_open() {
    run(async {
        let claims = claim_client();
        let mut begun = 0;
        for number in 0..200 {
            let task = {
                let claims = claims.clone();
                spawn_local(async move { claims.claim(&format!("k-{number}"), ticket(number)).await })
            };
            // Before it has begun, as it waits for both voters, and as it waits for the second.
            for _ in 0..number % 3 {
                yield_now().await;
            }
            begun += claims.open_count() as u64;
            if number % 3 == 2 {
                grant(&claims, begun, 0);
            }
            task.abort();
            let _ = task.await;
            assert_eq!(claims.open_count(), 0, "after request {number}");
        }
        assert!(begun >= 100, "{begun} of 200 claims had begun");
    });
}

#[test]
fn a_claim_that_is_granted_leaves_nothing_open() {
    run(async {
        let claims = claim_client();
        let task = {
            let claims = claims.clone();
            spawn_local(async move { claims.claim("k", ticket(1)).await })
        };
        yield_now().await;
        assert_eq!(claims.open_count(), 1);
        // The first number that is given to a claim here.
        for voter in 0..2 {
            let vote = ClaimVote::Granted.into();
            claims.on_reply(ClaimReply {
                id: 1,
                voter,
                vote,
                set_number: SET_NUMBER,
                ..ClaimReply::default()
            });
        }
        assert_eq!(task.await.unwrap(), Outcome::Granted);
        assert_eq!(claims.open_count(), 0);
    });
}
