//! The log: one line of `key=value` pairs for each event, on standard error.

use log::LevelFilter;

/// The project's packages that log by the level of the settings. Libraries log from their warnings on.
const TARGETS: [&str; 6] = [
    "rushcourse_controller",
    "rushcourse_gateway",
    "rushcourse_transport",
    "rushcourse_storage",
    "controller",
    "gateway",
];

/// Sets the log up for a node. A level that is not known counts as `info`.
pub fn init(level: &str, node: &str) {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let node = node.to_string();
    let mut dispatch = fern::Dispatch::new()
        .format(move |out, message, record| {
            out.finish(format_args!(
                "level={} node={node} {message}",
                record.level().as_str().to_lowercase()
            ));
        })
        .level(level.min(LevelFilter::Warn));
    for target in TARGETS {
        dispatch = dispatch.level_for(target, level);
    }
    // A second set-up in one process keeps the first.
    let _ = dispatch.chain(std::io::stderr()).apply();
}
