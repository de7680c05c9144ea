//! The program `gateway`.

const ABOUT: &str = "\
gateway: the data plane of the gateway. Takes requests of clients and forwards each to a host of its
route's service, by the tables of the controllers.";

fn main() {
    rushcourse_transport::program::run(ABOUT, rushcourse_gateway::serve);
}
