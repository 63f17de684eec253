//! Every way that five controllers can name one another, every owner, every beginning.
use notchspool_fleet_protocol::owner_search::OwnerSearch;

#[test]
fn the_owner_is_reached_within_two_attempts_a_controller_whatever_the_others_name() {
    const CONTROLLERS: usize = 5;
    for nth in 0..6_usize.pow(CONTROLLERS as u32) {
        let names: [Option<u16>; CONTROLLERS] = std::array::from_fn(|n| {
            let named = nth / 6_usize.pow(n as u32) % 6;
            (named < CONTROLLERS).then_some(named as u16)
        });
        for (owner, first) in
            (0..CONTROLLERS).flat_map(|owner| (0..CONTROLLERS).map(move |first| (owner, first)))
        {
            let mut search = OwnerSearch::new(CONTROLLERS, first);
            let mut attempts = 1;
            while search.current() != owner {
                search.not_found(names[search.current()]);
                attempts += 1;
                assert!(attempts <= 2 * CONTROLLERS, "{names:?}: {owner} is not found from {first}");
            }
            // It goes on there, and a name that is right is followed at once.
            search.found();
            assert_eq!(search.current(), owner);
            let other = (owner + 1) % CONTROLLERS;
            assert!(search.not_found(Some(other as u16)));
            assert_eq!(search.current(), other);
        }
    }
}

#[test]
fn a_name_beyond_all_and_one_s_own_are_passed_over() {
    let mut search = OwnerSearch::new(3, 4);
    assert_eq!(search.current(), 1);
    assert!(!search.not_found(Some(3)));
    assert_eq!(search.current(), 2);
    assert!(!search.not_found(Some(2)));
    assert_eq!(search.current(), 0);
}
