//! Which addresses reach one's own listener.
use notchspool_settings::own_address::reaches_listener;

#[test]
fn the_agents_own_address_is_known() {
    let cases = [
        ("127.0.0.1:80", "127.0.0.1:80", true),
        ("0.0.0.0:80", "127.0.0.7:80", true),
        ("127.0.0.1:80", "0.0.0.0:80", true),
        ("[::]:80", "[::1]:80", true),
        ("127.0.0.1:80", "127.0.0.1:81", false),
        ("127.0.0.1:80", "127.0.0.2:80", false),
    ];
    for (own, address, expected) in cases {
        let parse = |text: &str| text.parse().expect("an address");
        assert_eq!(reaches_listener(parse(own), parse(address)), expected, "{own} {address}");
    }
}
