//! Logging to standard error: one line of `key=value` pairs per event.

use log::LevelFilter;

/// Log targets to which the configured level applies. All other targets log warnings and errors at most.
const TARGETS: [&str; 6] = [
    "rushcourse_controller",
    "rushcourse_gateway",
    "rushcourse_transport",
    "rushcourse_storage",
    "controller",
    "gateway",
];

/// Initializes logging for this process. `node` is written to each line; an unknown `level` is treated as `info`.
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
    // Fails if logging is already initialized, as in tests; the first initialization stays in effect.
    let _ = dispatch.chain(std::io::stderr()).apply();
}
