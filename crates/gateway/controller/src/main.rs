use gumdrop::Options;

/// controller: the core director of the gateway. Takes calls of hosts and operators, keeps the configuration and the
/// claims of operation keys on disk, and says which hosts frontend directors may use.
#[derive(Options)]
struct Line {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "settings file; else the one that RUSHCOURSE_NODE_FILE names",
        meta = "FILE"
    )]
    settings: Option<String>,
    #[options(help = "only check the settings file: file, line and field of what is wrong")]
    check: bool,
}

fn main() {
    let line = Line::parse_args_default_or_exit();
    rushcourse_transport::boot::launch(
        line.settings.as_deref(),
        line.check,
        rushcourse_controller::serve,
    );
}
