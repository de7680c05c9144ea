//! Entry point of the `controller` program.

const ABOUT: &str = "\
controller: the control plane of the gateway. Serves hosts and operators, stores the configuration and the claims of
operation keys on disk, and sends endpoint tables to gateways.";

fn main() {
    rushcourse_transport::program::run(ABOUT, rushcourse_controller::serve);
}
