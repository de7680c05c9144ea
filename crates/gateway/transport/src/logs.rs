//! One line of key=value pairs for each event, to standard error.

use log::LevelFilter;

/// Sets the log up once; a level that is not known counts as `info`.
pub fn set_up(level: &str, node: &str) {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let node = node.to_string();
    let form = move |out: fern::FormatCallback<'_>,
                     message: &std::fmt::Arguments<'_>,
                     record: &log::Record<'_>| {
        out.finish(format_args!(
            "level={} node={node} {message}",
            record.level().as_str().to_lowercase()
        ));
    };
    // Libraries speak from their warnings on.
    let logger = fern::Dispatch::new()
        .format(form)
        .level(level.min(LevelFilter::Warn))
        .level_for("rushcourse_controller", level)
        .level_for("rushcourse_gateway", level)
        .level_for("rushcourse_transport", level)
        .level_for("rushcourse_storage", level)
        .level_for("controller", level)
        .level_for("gateway", level)
        .chain(std::io::stderr());
    // A second set-up in one process keeps the first.
    let _ = logger.apply();
}
