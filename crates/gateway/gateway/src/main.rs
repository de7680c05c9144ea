//! Entry point of the `gateway` binary.

const ABOUT: &str = "\
gateway: the data plane of the gateway. Accepts client requests and forwards each to a host of its
route's service, using the endpoint tables received from controllers.";

fn main() {
    rushcourse_transport::program::run(ABOUT, rushcourse_gateway::serve);
}
