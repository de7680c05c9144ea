# The targets that people and CI use. Nothing here installs anything but what cargo fetches.
CONFIG ?= examples/config.json

.PHONY: build test lint run example example-grpc example-gateway prove-cost prove-consensus prove-grpc prove-size

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked

run: build
	RELAY_CONFIG=$(CONFIG) exec target/release/rushcourse serve

# What a majority of disks holds, through all orders of delivery, loss, crash and wipe on small worlds: states, depth and
# violations (none), and each variant broken on purpose, which has to be caught. Ends non-zero otherwise.
prove-consensus:
	cargo build --release --locked -p rushcourse-modelcheck
	target/release/modelcheck

# What directors of the gateway say to each other, in bytes, at 8 to 80 frontend directors and 30 and 255 hosts. Ends
# non-zero if what one frontend director gets grows with their number.
prove-cost:
	cargo build --release --locked -p rushcourse-netcost
	target/release/netcost

# The same scripts over both protocols: tables compared, rules checked. Ends non-zero on any difference.
prove-grpc:
	cargo build --release --locked -p rushcourse-simulation
	target/release/rushcourse-simulation prove-grpc --scripts 240

# What a round, a report and a joining cost at 60 to 2,400 proxies. Ends non-zero if a joining looks at the whole fleet.
prove-size:
	cargo build --release --locked -p rushcourse-simulation
	target/release/rushcourse-simulation prove-size

# A director with a toy relay and a toy host over gRPC around it.
example-grpc: build
	target/release/toy-grpc story examples/config.json --director target/release/rushcourse

example: build
	target/release/toy examples/config.json --director target/release/rushcourse

# A small gateway on loopback: four core and two frontend directors, stand-in hosts, each step a line.
example-gateway:
	cargo build --release --locked -p rushcourse-controller -p rushcourse-gateway -p rushcourse-cli -p rushcourse-gateway-standin
	target/release/toy-gateway target/release
