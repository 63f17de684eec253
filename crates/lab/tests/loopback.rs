//! What a run needs of the machine, and the errors where it is missing.
use std::net::TcpListener;

use nix::sys::resource::{Resource, getrlimit};
use notchspool_lab::sockets::loopback::{listen, raise_descriptor_limit};

#[test]
fn a_port_in_use_is_named() {
    let held = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = held.local_addr().expect("its address");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().expect("a runtime");
    let _in = runtime.enter();
    let error = listen(at).expect_err("it is taken");
    assert!(error.contains(&at.to_string()) && error.contains("in use"), "{error}");
}

#[test]
fn a_limit_that_can_not_be_raised_is_named() {
    let (_, hard) = getrlimit(Resource::RLIMIT_NOFILE).expect("a limit");
    if hard < u64::MAX - 1 {
        let error = raise_descriptor_limit(hard + 1).expect_err("there are not so many");
        assert!(error.contains(&hard.to_string()), "{error}");
    }
    assert_eq!(raise_descriptor_limit(16), Ok(()));
}
