use gumdrop::Options;

/// gateway: the frontend director of the gateway. Takes requests of clients and sends each to a host of its
/// route's service, by the tables of the core directors.
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
        rushcourse_gateway::serve,
    );
}
