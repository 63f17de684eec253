//! Configurations: what is read, looked up, and refused with which field.
use notchspool::units::Micros;
use notchspool_mesh_config::route_config::RouteConfig;

const VALID: &str = r#"{"version":7,"routes":{
        "a":{"host":"x.example","pathPrefix":"/a/","routeKind":"safe","timeoutS":2.5,"targetS":0.6,"priority":2,"trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":2},
        "b":{"host":"x.example","pathPrefix":"/a/b/","routeKind":"keyed","timeoutS":3,"targetS":0.8,"priority":1,"service":"s2","maxAttempts":2}},
        "services":{"s1":{"healthPath":"/h","maxConns":130,"protocol":"h1","usesTls":false,"selfDedupes":false},"s2":{}},
        "limits":{"maxHeaderBytes":16384,"headerTimeoutS":3}}"#;

#[test]
fn the_longest_prefix_of_the_host_decides() {
    let config = RouteConfig::parse(VALID.as_bytes()).unwrap();
    let name = |host: &str, path: &str| config.route(host, path).map(|route| route.name.clone());
    assert_eq!(name("x.example", "/a/1").as_deref(), Some("a"));
    assert_eq!(name("X.example:80", "/a/b/1").as_deref(), Some("b"));
    assert_eq!(name("x.example", "/a/b").as_deref(), Some("a"));
    assert_eq!(name("x.example", "/b/"), None);
    assert_eq!(name("y.example", "/a/1"), None);
    let route = &config.routes[0];
    assert_eq!(
        (route.pick_service(0.0), route.pick_service(0.89), route.pick_service(0.91)),
        ("s1", "s1", "s2")
    );
    assert_eq!(config.limits.header_timeout, Micros::ms(3_000));
    assert_eq!(route.timeout, Micros::ms(2_500));
}

#[test]
fn each_kind_of_nonsense_is_refused_with_its_field() {
    let rows = [
        ("\"version\":7,", "", "version"),
        (
            "\"host\":\"x.example\",\"pathPrefix\":\"/a/\"",
            "\"host\":\"\",\"pathPrefix\":\"/a/\"",
            "routes.a.host",
        ),
        ("\"timeoutS\":2.5", "\"timeoutS\":600.5", "routes.a.timeoutS"),
        ("\"timeoutS\":2.5", "\"timeoutS\":600.0000004", "routes.a.timeoutS"),
        ("\"timeoutS\":2.5", "\"timeoutS\":0", "routes.a.timeoutS"),
        ("\"trafficSplit\":", "\"service\":\"s3\",\"trafficSplit\":", "routes.a.service"),
        (
            "\"service\":\"s2\",\"maxAttempts\":2",
            "\"service\":\"s2\",\"trafficSplit\":7,\"maxAttempts\":2",
            "routes.b.trafficSplit",
        ),
        ("\"service\":\"s2\",\"maxAttempts\":2", "\"service\":\"s3\",\"maxAttempts\":2", "routes.b.service"),
        (
            "\"service\":\"s2\",\"maxAttempts\":2",
            "\"service\":\"s2\",\"maxAttempts\":0",
            "routes.b.maxAttempts",
        ),
        ("\"weight\":90", "\"weight\":-1", "routes.a.trafficSplit[0]"),
        ("\"routeKind\":\"safe\"", "\"routeKind\":\"odd\"", "routes.a.routeKind"),
        ("\"maxHeaderBytes\":16384", "\"maxHeaderBytes\":\"x\"", "limits.maxHeaderBytes"),
    ];
    for (old, new, field) in rows {
        assert!(VALID.contains(old), "{old}");
        let error = RouteConfig::parse(VALID.replacen(old, new, 1).as_bytes()).unwrap_err();
        assert_eq!(error.field, field, "{error}");
    }
}

#[test]
fn a_body_cut_short_anywhere_is_refused() {
    for end in 0..VALID.len() {
        assert!(RouteConfig::parse(&VALID.as_bytes()[..end]).is_err(), "cut at {end}");
    }
}

#[test]
fn any_bytes_are_a_configuration_or_an_error() {
    fn holds(at: usize, byte: u8) -> bool {
        let mut bytes = VALID.as_bytes().to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        RouteConfig::parse(&bytes).is_ok_and(|config| !config.routes.is_empty())
            || RouteConfig::parse(&bytes).is_err()
    }
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(1 << 20, 7))
        .tests(3_000)
        .quickcheck(holds as fn(usize, u8) -> bool);
}
