//! Whether an address is the agent's own.
use std::net::SocketAddr;

/// Whether what is sent to `at` comes to a listener at `own`.
pub fn comes_back(own: SocketAddr, at: SocketAddr) -> bool {
    let any = own.ip().is_unspecified() && at.ip().is_loopback() || at.ip().is_unspecified();
    own.port() == at.port() && (own.ip() == at.ip() || any)
}

#[cfg(test)]
mod tests {
    use super::comes_back;

    #[test]
    fn its_own_address_is_known() {
        let cases = [
            ("127.0.0.1:80", "127.0.0.1:80", true),
            ("0.0.0.0:80", "127.0.0.7:80", true),
            ("127.0.0.1:80", "0.0.0.0:80", true),
            ("[::]:80", "[::1]:80", true),
            ("127.0.0.1:80", "127.0.0.1:81", false),
            ("127.0.0.1:80", "127.0.0.2:80", false),
        ];
        for (own, at, is) in cases {
            let read = |at: &str| at.parse().expect("an address");
            assert_eq!(comes_back(read(own), read(at)), is, "{own} {at}");
        }
    }
}
