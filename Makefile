# Snapshots are compared, never written, by every target here.
export INSTA_UPDATE = no

.PHONY: build lint test run

build:
	cargo build --locked --release

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps

# Known to fail for a real fault, each with its cause and issue; .ci/run looks that they still do.
RED = $(shell grep -v '^review/' KNOWN-RED.txt 2>/dev/null | cut -d, -f1)

test: lint build
	cargo test --locked $(if $(RED),-- --exact $(addprefix --skip ,$(RED)))
	cargo test --locked -p mossrill-lab

# Needs the platform's variables: EDGE_CONFIG names the configuration.
run: build
	target/release/mossrill
