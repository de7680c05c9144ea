# Targets for development and CI. They install nothing; cargo downloads the dependencies.
CONFIG ?= examples/config.json

.PHONY: build test lint run example example-grpc example-gateway prove-cost prove-consensus prove-grpc prove-size

build:
	cargo build --release --locked

# Runs all tests except those listed in KNOWN-RED.txt, which it prints.
test:
	cargo test --workspace --locked -- $$(.ci/known-red)

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked

run: build
	RELAY_CONFIG=$(CONFIG) exec target/release/rushcourse serve

# Model-checks consensus in small clusters over all orders of message delivery, loss, crash and disk wipe. Prints the
# number of states, the depth and the violations. Exits non-zero on a violation or if a seeded fault is not detected.
prove-consensus:
	cargo build --release --locked -p rushcourse-modelcheck
	target/release/modelcheck

# Computes the bytes sent between nodes of a gateway cluster with 8 to 80 frontend nodes and 30 or 255 hosts. Exits
# non-zero if the bytes received by one frontend node grow with the number of frontend nodes.
prove-cost:
	cargo build --release --locked -p rushcourse-netcost
	target/release/netcost

# Runs the same scripts over the relay protocol and gRPC, compares the proxies' tables and checks the routing rules.
# Exits non-zero on any difference or violation.
prove-grpc:
	cargo build --release --locked -p rushcourse-simulation
	target/release/rushcourse-simulation prove-grpc --scripts 240

# Measures the cost of a round, a report and a join with 60 to 2,400 proxies. Exits non-zero if a join examines the whole
# fleet.
prove-size:
	cargo build --release --locked -p rushcourse-simulation
	target/release/rushcourse-simulation prove-size

# Runs a director with stand-ins for the relay, discovery, two gRPC proxies and a host that reports its load.
example-grpc: build
	target/release/toy-grpc story examples/config.json --director target/release/rushcourse

# Runs a director with stand-ins for the relay, discovery, a collector and two hosts.
example: build
	target/release/toy examples/config.json --director target/release/rushcourse

# Runs a small gateway cluster on loopback with four controllers, two gateways and stand-in hosts, and prints each step.
example-gateway:
	cargo build --release --locked -p rushcourse-controller -p rushcourse-gateway -p rushcourse-cli -p rushcourse-gateway-standin
	target/release/toy-gateway target/release
