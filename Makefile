# Snapshots are compared, never written, by every target here.
export INSTA_UPDATE = no

.PHONY: build lint test run

build:
	cargo build --locked --release

lint:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings

test: lint build
	cargo test --locked

# Needs the platform's variables: EDGE_CONFIG names the configuration.
run: build
	target/release/mossrill
