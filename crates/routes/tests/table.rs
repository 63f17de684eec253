//! The compiled table against a plain search through all routes, by random tables and requests.
use notchspool_routes::table::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::RngSeed;

fn steady() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::with_cases(1500)
    }
}

fn path() -> impl Strategy<Value = String> {
    vec(select(vec!["a", "b", "", "ab", "{x}"]), 0..4).prop_map(|s| format!("/{}", s.join("/")))
}
fn rule() -> impl Strategy<Value = Rule> {
    let host = prop_oneof![
        Just(Host::Any),
        select(vec!["x.example", "example", "y.x.example"]).prop_map(|h| Host::Exact(h.into())),
        select(vec!["example", "x.example"]).prop_map(|h| Host::Below(h.into())),
    ];
    let segment =
        select(vec!["a", "b", "*"]).prop_map(|s| if s == "*" { Segment::Any } else { Segment::Is(s.into()) });
    let path = prop_oneof![
        Just(Path::Any),
        path().prop_map(Path::Exact),
        path().prop_map(Path::Below),
        vec(segment, 1..4).prop_map(Path::Segments),
    ];
    let methods = vec(select(vec!["GET", "POST"]).prop_map(str::to_owned), 0..2);
    let headers = vec(select(vec![("x-kind", "1"), ("x-kind", "2")]), 0..2)
        .prop_map(|h| h.into_iter().map(|(n, v)| (n.to_owned(), v.to_owned())).collect());
    (vec(0usize..2, 0..2), host, path, methods, headers)
        .prop_map(|(listen, host, path, methods, headers)| Rule { listen, host, path, methods, headers })
}

proptest! {
    #![proptest_config(steady())]

    #[test]
    fn it_finds_the_first_that_matches(
        rules in vec(rule(), 0..25),
        asks in vec((0usize..2, select(vec!["x.example", "example:8080", "Y.X.Example", "other", ".example", ""]),
            path(), select(vec!["GET", "POST", "PUT"]), select(vec!["", "1", "2"]), any::<bool>()), 1..20),
    ) {
        let table = Table::new(rules.clone());
        let covered = table.covered();
        let plain = |nth: usize| (0..nth).find(|&e| rules[e].covers(&rules[nth])).map(|e| (nth, e));
        prop_assert_eq!(&covered, &(0..rules.len()).filter_map(plain).collect::<Vec<_>>());
        for (listen, host, path, method, kind, query) in asks {
            let path = if query { format!("{path}?q=/a/b") } else { path };
            let headers = [("X-Kind", kind)];
            let asked = Asked { listen, host, path: &path, method, headers: &headers };
            let plain = rules.iter().position(|rule| rule.miss(&asked).is_none());
            prop_assert_eq!(table.find(&asked), plain, "{:?}", asked);
            let told = table.explain(&asked);
            prop_assert_eq!(told.last().filter(|t| t.1.is_none()).map(|t| t.0), plain);
            prop_assert!(!covered.iter().any(|c| Some(c.0) == plain), "found though covered");
        }
    }
}

#[test]
fn a_prefix_ends_at_a_segment_and_a_covered_route_is_named() {
    let below = |path: &str| Rule { path: Path::Below(path.into()), ..Rule::default() };
    let table = Table::new(vec![below("/pay"), below("/pay/now"), Rule::default()]);
    let find = |path| table.find(&Asked { listen: 0, host: "", path, method: "GET", headers: &[] });
    assert_eq!([find("/pay"), find("/pay/now?x"), find("/payday")], [Some(0), Some(0), Some(2)]);
    assert_eq!(table.covered(), [(1, 0)]);
}
