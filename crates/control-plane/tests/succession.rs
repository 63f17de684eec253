//! Which voter set one replica wants, by what it hears: no sockets, no clock but the one that is handed in.
use notchspool::units::Micros;
use notchspool_control_plane::replica::{Effect, NO_REPORT, Replica, ReplicaOptions, Tolerance};
use notchspool_mesh_protocol::{Age, Hello, LivenessReport, Payload, Role};
use notchspool_storage::Recovered;

/// One member, and the others as it hears them.
struct Scene {
    replica: Replica,
    now: Micros,
    log: Vec<String>,
    /// Others that speak: address, zone, incarnation, counted, silent since it was last heard, the member whom it misses.
    others: Vec<(String, &'static str, u64, bool)>,
    misses: Vec<String>,
}

fn address(at: usize) -> String {
    format!("10.0.0.{at}:1")
}

impl Scene {
    /// The member is `10.0.0.1`, in zone a; seeds are 1, 2 and 3.
    fn new(tolerate: Tolerance) -> Scene {
        Scene::with_members(tolerate, 3)
    }

    /// The same with so many seeds.
    fn with_members(tolerate: Tolerance, members: usize) -> Scene {
        let seeds: Vec<String> = (1..=members).map(address).collect();
        let options = ReplicaOptions {
            address: address(1),
            zone: "a".into(),
            counted: true,
            tolerate,
            boot_id: 71,
            first_start: true,
            seeds,
            claim_window: Micros::ms(60_000),
        };
        let now = Micros::ms(1);
        let (replica, effects) = Replica::open(options, Recovered::default(), now);
        let mut scene = Scene { replica, now, log: Vec::new(), others: Vec::new(), misses: Vec::new() };
        scene.carry_out(effects);
        scene
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Write { id, .. } if id != NO_REPORT => {
                    let effects = self.replica.on_written(self.now, id, true);
                    self.carry_out(effects);
                }
                Effect::Log(line) => self.log.push(line),
                _ => {}
            }
        }
    }

    fn add_peer(&mut self, at: usize, zone: &'static str, incarnation: u64, counted: bool) {
        self.others.push((address(at), zone, incarnation, counted));
        let conn = at as u64;
        let effects = self.replica.on_connected(self.now, 100 + conn, &address(at));
        self.carry_out(effects);
        let hello = Hello {
            node: String::new(),
            boot_id: 1_000 + incarnation + conn,
            zone: zone.into(),
            address: address(at),
            role: Role::ControlPlane.into(),
            incarnation,
            counted,
            ..Hello::default()
        };
        let effects = self.replica.on_message(self.now, conn, Payload::Hello(hello));
        self.carry_out(effects);
    }

    /// Time passes: those who are there tell whom they hear.
    fn pass(&mut self, ms: i64) {
        let end = self.now + Micros::ms(ms);
        while self.now < end {
            self.now = self.now + Micros::ms(50);
            for (other, _, incarnation, counted) in self.others.clone() {
                let at: u64 = other["10.0.0.".len()..].trim_end_matches(":1").parse().unwrap();
                let silent = self.misses.iter().map(|m| Age { subject: m.clone(), age_ms: 60_000 });
                let report = LivenessReport {
                    incarnation,
                    counted,
                    set_number: 1,
                    voters: silent.collect(),
                    ..LivenessReport::default()
                };
                for conn in [at, 100 + at] {
                    let effects =
                        self.replica.on_message(self.now, conn, Payload::LivenessReport(report.clone()));
                    self.carry_out(effects);
                }
            }
            let effects = self.replica.tick(self.now);
            self.carry_out(effects);
        }
    }

    fn proposed(&self) -> Option<&str> {
        self.log.iter().find_map(|l| l.strip_prefix("members: propose set 2: "))
    }
}

const ONE: Tolerance = Tolerance { machines: 1, zones: 0 };

#[test]
fn three_that_are_enough_stay_three() {
    let mut scene = Scene::new(ONE);
    scene.add_peer(2, "b", 0, true);
    scene.add_peer(3, "c", 0, true);
    scene.add_peer(4, "a", 9, true);
    scene.pass(10_000);
    assert_eq!(scene.proposed(), None);
}

/// Five are members; of the others two are as they were, and one comes with an empty disk.
fn five_of_which_one_has_an_empty_disk() -> Scene {
    let mut scene = Scene::with_members(Tolerance { machines: 2, zones: 0 }, 5);
    scene.add_peer(2, "b", 0, true);
    scene.add_peer(3, "c", 0, true);
    scene.add_peer(4, "d", 9, true);
    scene
}

/// Two disks were lost at once, and each had a change of the set for itself: twice as long without a majority.
#[test]
fn two_empty_disks_that_come_one_after_the_other_are_taken_in_by_one_change() {
    let mut scene = five_of_which_one_has_an_empty_disk();
    scene.pass(150);
    assert_eq!(scene.proposed(), None, "another member is still to come");
    scene.add_peer(5, "e", 8, true);
    scene.pass(300);
    let both = "10.0.0.4:1 comes with an empty disk, 10.0.0.5:1 comes with an empty disk";
    assert_eq!(scene.proposed(), Some(both));
}

#[test]
fn an_empty_disk_does_not_wait_for_long_for_a_member_that_stays_away() {
    let mut scene = five_of_which_one_has_an_empty_disk();
    scene.pass(600);
    assert_eq!(scene.proposed(), Some("10.0.0.4:1 comes with an empty disk"));
}

#[test]
fn it_grows_to_what_is_to_be_borne_and_stays_odd() {
    let two = Tolerance { machines: 2, zones: 0 };
    let mut scene = Scene::new(two);
    scene.add_peer(2, "b", 0, true);
    scene.add_peer(3, "c", 0, true);
    scene.add_peer(4, "a", 9, true);
    scene.pass(4_000);
    assert_eq!(scene.proposed(), None, "four bear no more than three");
    scene.add_peer(5, "b", 8, false);
    scene.pass(4_000);
    assert_eq!(scene.proposed(), None, "one that does not count has no seat");
    scene.add_peer(6, "b", 7, true);
    scene.pass(4_000);
    assert_eq!(scene.proposed(), Some("3 voters, 5 are wanted"));
}

#[test]
fn a_zone_is_borne_where_there_are_machines_for_it() {
    let zone = Tolerance { machines: 0, zones: 1 };
    let mut scene = Scene::new(zone);
    // Two of three stand in zone a: its loss would take the majority.
    scene.add_peer(2, "a", 0, true);
    scene.add_peer(3, "b", 0, true);
    scene.add_peer(4, "a", 9, true);
    scene.add_peer(5, "a", 8, true);
    scene.pass(4_000);
    assert_eq!(scene.proposed(), None, "more of the same zone change nothing");
    scene.add_peer(6, "b", 7, true);
    scene.add_peer(7, "c", 6, true);
    scene.pass(4_000);
    assert_eq!(scene.proposed(), Some("3 voters do not bear the loss of a zone"));
}

#[test]
fn an_empty_disk_is_its_own_proof() {
    let mut scene = Scene::new(ONE);
    scene.add_peer(2, "b", 0, true);
    scene.pass(500);
    scene.add_peer(3, "c", 77, true);
    scene.pass(100);
    assert_eq!(scene.proposed(), Some("10.0.0.3:1 comes with an empty disk"));
}

#[test]
fn one_observer_is_no_majority_and_without_a_successor_nothing_moves() {
    let mut scene = Scene::new(ONE);
    scene.add_peer(2, "b", 0, true);
    scene.pass(9_000);
    assert_eq!(scene.proposed(), None, "nobody is there to take the seat");
    scene.add_peer(4, "c", 9, true);
    scene.pass(4_000);
    assert_eq!(scene.proposed(), None, "the other hears the one that is silent here");
    scene.misses = vec![address(3)];
    scene.pass(100);
    let why = scene.proposed().unwrap_or_default();
    assert!(why.starts_with("10.0.0.4:1 takes the seat of 10.0.0.3:1"), "{why}");
}
