//! The program `controller`.

const ABOUT: &str = "\
controller: the core director of the gateway. Takes calls of hosts and operators, keeps the configuration and the
claims of operation keys on disk, and says which hosts frontend directors may use.";

fn main() {
    rushcourse_transport::program::run(ABOUT, rushcourse_controller::serve);
}
