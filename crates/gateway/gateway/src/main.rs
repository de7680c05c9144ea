//! The program `gateway`.

const ABOUT: &str = "\
gateway: the frontend director of the gateway. Takes requests of clients and sends each to a host of its
route's service, by the tables of the core directors.";

fn main() {
    rushcourse_transport::program::run(ABOUT, rushcourse_gateway::serve);
}
