# The targets that people and CI use. Nothing here installs anything but what cargo fetches.
CONFIG ?= examples/config.json

.PHONY: build test lint run example

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	RELAY_CONFIG=$(CONFIG) exec target/release/rushcourse serve

example: build
	target/release/toy examples/config.json --director target/release/rushcourse
