//! Every way that five keepers can name one another, every owner, every beginning.
use notchspool_fleet_protocol::search::Search;

#[test]
fn the_owner_is_asked_within_two_tries_a_keeper_whatever_the_others_name() {
    const KEEPERS: usize = 5;
    for nth in 0..6_usize.pow(KEEPERS as u32) {
        let names: [Option<u16>; KEEPERS] = std::array::from_fn(|n| {
            let named = nth / 6_usize.pow(n as u32) % 6;
            (named < KEEPERS).then_some(named as u16)
        });
        for (owner, first) in (0..KEEPERS).flat_map(|owner| (0..KEEPERS).map(move |first| (owner, first))) {
            let mut search = Search::new(KEEPERS, first);
            let mut tries = 1;
            while search.at() != owner {
                search.not_there(names[search.at()]);
                tries += 1;
                assert!(tries <= 2 * KEEPERS, "{names:?}: {owner} is not found from {first}");
            }
            // It goes on there, and a name that is right is followed at once.
            search.found();
            assert_eq!(search.at(), owner);
            let other = (owner + 1) % KEEPERS;
            assert!(search.not_there(Some(other as u16)));
            assert_eq!(search.at(), other);
        }
    }
}

#[test]
fn a_name_beyond_all_and_one_s_own_are_passed_over() {
    let mut search = Search::new(3, 4);
    assert_eq!(search.at(), 1);
    assert!(!search.not_there(Some(3)));
    assert_eq!(search.at(), 2);
    assert!(!search.not_there(Some(2)));
    assert_eq!(search.at(), 0);
}
