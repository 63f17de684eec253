//! Which set one prompter wishes for, by what it hears: no sockets, no clock but the one that is handed in.
use notchspool::units::Micros;
use notchspool_control_plane::office::{Act, Office, Opening, Tolerate};
use notchspool_mesh_protocol::{Age, Heard, Hello, What};
use notchspool_storage::Found;

/// One member, and the others as it hears them.
struct Scene {
    office: Office,
    now: Micros,
    told: Vec<String>,
    /// Others that speak: address, zone, incarnation, counted, silent since it was last heard, the member whom it misses.
    others: Vec<(String, &'static str, u64, bool)>,
    misses: Vec<String>,
}

fn address(at: usize) -> String {
    format!("10.0.0.{at}:1")
}

impl Scene {
    /// The member is `10.0.0.1`, in zone a; seeds are 1, 2 and 3.
    fn new(tolerate: Tolerate) -> Scene {
        let seeds: Vec<String> = (1..=3).map(address).collect();
        let opening = Opening {
            own: address(1),
            zone: "a".into(),
            counted: true,
            tolerate,
            life: 71,
            first_start: true,
            seeds,
            window: Micros::ms(60_000),
        };
        let now = Micros::ms(1);
        let (office, acts) = Office::open(opening, Found::default(), now);
        let mut scene = Scene { office, now, told: Vec::new(), others: Vec::new(), misses: Vec::new() };
        scene.act(acts);
        scene
    }

    fn act(&mut self, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Save(number, _) if number > 0 => {
                    let acts = self.office.saved(self.now, number, true);
                    self.act(acts);
                }
                Act::Log(line) => self.told.push(line),
                _ => {}
            }
        }
    }

    fn there(&mut self, at: usize, zone: &'static str, incarnation: u64, counted: bool) {
        self.others.push((address(at), zone, incarnation, counted));
        let conn = at as u64;
        let acts = self.office.peer(self.now, 100 + conn, &address(at));
        self.act(acts);
        let hello = Hello {
            node: String::new(),
            life: 1_000 + incarnation + conn,
            zone: zone.into(),
            address: address(at),
            role: 2,
            incarnation,
            counted,
            ..Hello::default()
        };
        let acts = self.office.hear(self.now, conn, What::Hello(hello));
        self.act(acts);
    }

    /// Time passes: those who are there tell whom they hear.
    fn pass(&mut self, ms: i64) {
        let end = self.now + Micros::ms(ms);
        while self.now < end {
            self.now = self.now + Micros::ms(50);
            for (other, _, incarnation, counted) in self.others.clone() {
                let at: u64 = other["10.0.0.".len()..].trim_end_matches(":1").parse().unwrap();
                let silent = self.misses.iter().map(|m| Age { instance: m.clone(), ms: 60_000 });
                let heard =
                    Heard { incarnation, counted, set: 1, voters: silent.collect(), ..Heard::default() };
                for conn in [at, 100 + at] {
                    let acts = self.office.hear(self.now, conn, What::Heard(heard.clone()));
                    self.act(acts);
                }
            }
            let acts = self.office.wake(self.now);
            self.act(acts);
        }
    }

    fn proposed(&self) -> Option<&str> {
        self.told.iter().find_map(|l| l.strip_prefix("members: propose set 2: "))
    }
}

const ONE: Tolerate = Tolerate { machines: 1, zones: 0 };

#[test]
fn three_that_are_enough_stay_three() {
    let mut scene = Scene::new(ONE);
    scene.there(2, "b", 0, true);
    scene.there(3, "c", 0, true);
    scene.there(4, "a", 9, true);
    scene.pass(10_000);
    assert_eq!(scene.proposed(), None);
}

#[test]
fn it_grows_to_what_is_to_be_borne_and_stays_odd() {
    let two = Tolerate { machines: 2, zones: 0 };
    let mut scene = Scene::new(two);
    scene.there(2, "b", 0, true);
    scene.there(3, "c", 0, true);
    scene.there(4, "a", 9, true);
    scene.pass(4_000);
    assert_eq!(scene.proposed(), None, "four bear no more than three");
    scene.there(5, "b", 8, false);
    scene.pass(4_000);
    assert_eq!(scene.proposed(), None, "one that does not count has no seat");
    scene.there(6, "b", 7, true);
    scene.pass(4_000);
    assert_eq!(scene.proposed(), Some("3 voters, 5 are wanted"));
}

#[test]
fn a_zone_is_borne_where_there_are_machines_for_it() {
    let zone = Tolerate { machines: 0, zones: 1 };
    let mut scene = Scene::new(zone);
    // Two of three stand in zone a: its loss would take the majority.
    scene.there(2, "a", 0, true);
    scene.there(3, "b", 0, true);
    scene.there(4, "a", 9, true);
    scene.there(5, "a", 8, true);
    scene.pass(4_000);
    assert_eq!(scene.proposed(), None, "more of the same zone change nothing");
    scene.there(6, "b", 7, true);
    scene.there(7, "c", 6, true);
    scene.pass(4_000);
    assert_eq!(scene.proposed(), Some("3 voters do not bear the loss of a zone"));
}

#[test]
fn an_empty_disk_is_its_own_proof() {
    let mut scene = Scene::new(ONE);
    scene.there(2, "b", 0, true);
    scene.pass(500);
    scene.there(3, "c", 77, true);
    scene.pass(100);
    assert_eq!(scene.proposed(), Some("10.0.0.3:1 comes with an empty disk"));
}

#[test]
fn one_pair_of_ears_is_no_majority_and_without_an_heir_nothing_moves() {
    let mut scene = Scene::new(ONE);
    scene.there(2, "b", 0, true);
    scene.pass(9_000);
    assert_eq!(scene.proposed(), None, "nobody is there to take the seat");
    scene.there(4, "c", 9, true);
    scene.pass(4_000);
    assert_eq!(scene.proposed(), None, "the other hears the one that is silent here");
    scene.misses = vec![address(3)];
    scene.pass(100);
    let why = scene.proposed().unwrap_or_default();
    assert!(why.starts_with("10.0.0.4:1 takes the seat of 10.0.0.3:1"), "{why}");
}
