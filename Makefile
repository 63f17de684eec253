.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --locked --workspace

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

# Needs ROUTER_CONFIG; see the README.
run: build
	exec target/release/notchspool-agent
