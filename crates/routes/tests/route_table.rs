//! The compiled table against a plain search through all routes, by random tables and requests.
use notchspool_routes::route_rule::*;
use notchspool_routes::route_table::*;
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
fn rule() -> impl Strategy<Value = RouteRule> {
    let host = prop_oneof![
        Just(HostPattern::Any),
        select(vec!["x.example", "example", "y.x.example"]).prop_map(|h| HostPattern::Exact(h.into())),
        select(vec!["example", "x.example"]).prop_map(|h| HostPattern::Subdomains(h.into())),
    ];
    let segment = select(vec!["a", "b", "*"])
        .prop_map(|s| if s == "*" { SegmentPattern::Any } else { SegmentPattern::Literal(s.into()) });
    let path = prop_oneof![
        Just(PathPattern::Any),
        path().prop_map(PathPattern::Exact),
        path().prop_map(PathPattern::Prefix),
        vec(segment, 1..4).prop_map(PathPattern::Segments),
    ];
    let methods = vec(select(vec!["GET", "POST"]).prop_map(str::to_owned), 0..2);
    let headers = vec(select(vec![("x-kind", "1"), ("x-kind", "2")]), 0..2)
        .prop_map(|h| h.into_iter().map(|(n, v)| (n.to_owned(), v.to_owned())).collect());
    (vec(0usize..2, 0..2), host, path, methods, headers).prop_map(
        |(listeners, host, path, methods, headers)| RouteRule { listeners, host, path, methods, headers },
    )
}

proptest! {
    #![proptest_config(steady())]

    #[test]
    fn it_finds_the_first_that_matches(
        rules in vec(rule(), 0..25),
        requests in vec((0usize..2, select(vec!["x.example", "example:8080", "Y.X.Example", "other", ".example", ""]),
            path(), select(vec!["GET", "POST", "PUT"]), select(vec!["", "1", "2"]), any::<bool>()), 1..20),
    ) {
        let table = RouteTable::new(rules.clone());
        let covered = table.unreachable();
        let plain = |nth: usize| (0..nth).find(|&e| rules[e].covers(&rules[nth])).map(|e| UnreachableRoute { route: nth, covered_by: e });
        prop_assert_eq!(&covered, &(0..rules.len()).filter_map(plain).collect::<Vec<_>>());
        for (listener, host, path, method, kind, query) in requests {
            let path = if query { format!("{path}?q=/a/b") } else { path };
            let headers = [("X-Kind", kind)];
            let request = RequestHead { listener, host, path: &path, method, headers: &headers };
            let plain = rules.iter().position(|rule| rule.mismatch(&request).is_none());
            prop_assert_eq!(table.find(&request), plain, "{:?}", request);
            let considered = table.explain(&request);
            prop_assert_eq!(considered.last().filter(|c| c.mismatch.is_none()).map(|c| c.route), plain);
            prop_assert!(!covered.iter().any(|c| Some(c.route) == plain), "found though covered");
        }
    }
}

#[test]
fn a_prefix_ends_at_a_segment_and_an_unreachable_route_is_named() {
    let prefix = |path: &str| RouteRule { path: PathPattern::Prefix(path.into()), ..RouteRule::default() };
    let table = RouteTable::new(vec![prefix("/pay"), prefix("/pay/now"), RouteRule::default()]);
    let find = |path| table.find(&RequestHead { listener: 0, host: "", path, method: "GET", headers: &[] });
    assert_eq!([find("/pay"), find("/pay/now?x"), find("/payday")], [Some(0), Some(0), Some(2)]);
    assert_eq!(table.unreachable(), [UnreachableRoute { route: 1, covered_by: 0 }]);
}
