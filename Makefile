.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --locked --workspace

lint:
	cargo fmt --all -- --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps

run:
	ROUTER_CONFIG=examples/config.json cargo run --release --locked --bin ottercroft
