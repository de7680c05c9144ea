//! The program `controller`.

const ABOUT: &str = "\
controller: the control plane of the gateway. Takes requests of hosts and operators, keeps the configuration and the
claims of operation keys on disk, and tells gateways which hosts they may use.";

fn main() {
    rushcourse_transport::program::run(ABOUT, rushcourse_controller::serve);
}
