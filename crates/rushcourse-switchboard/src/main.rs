use gumdrop::Options;

/// switchboard: the frontend director of the gateway. Takes requests of clients and sends each to a host of its
/// route's service, by the tables of the core directors.
#[derive(Options)]
struct Line {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "settings file; else the one that RUSHCOURSE_NODE_FILE names", meta = "FILE")]
    settings: Option<String>,
    #[options(help = "only check the settings file: file, line and field of what is wrong")]
    check: bool,
}

fn main() {
    let line = Line::parse_args_default_or_exit();
    let done = rushcourse_linework::boot::place(line.settings.as_deref())
        .and_then(|path| rushcourse_linework::start(&path).map(|boot| (path, boot)))
        .and_then(
            |(path, boot)| if line.check { Ok(()) } else { rushcourse_switchboard::serve(&path, boot) },
        );
    if let Err(report) = done {
        eprintln!("{report:?}");
        std::process::exit(2);
    }
}
