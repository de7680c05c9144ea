//! Renders `/metrics` in the Prometheus text format.

use rushcourse_director_state::{CounterSample, DelayHistogram, GaugeSample, Session};
use std::fmt::{self, Write};

/// Prefix of all metric names.
const PREFIX: &str = "rushcourse";

pub(super) fn render(session: &Session, dropped_log_lines: u64) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    _ = write_all(&mut text, session, dropped_log_lines);
    text
}

fn write_all(text: &mut String, session: &Session, dropped_log_lines: u64) -> fmt::Result {
    let dropped_log_lines = CounterSample {
        name: "log_lines_dropped",
        help: "Log lines that the log's own queue could not take.",
        value: dropped_log_lines,
    };
    for counter in session.counters().samples().chain([dropped_log_lines]) {
        write_counter(text, counter)?;
    }
    for GaugeSample { name, help, value } in session.gauges() {
        let name = format!("{PREFIX}_{name}");
        writeln!(text, "# HELP {name} {help}\n# TYPE {name} gauge")?;
        writeln!(text, "{name} {value}")?;
    }
    write_histogram(
        text,
        "tick_to_call_seconds",
        "From the first input of a tick to its call.",
        &session.counters().input_to_call,
    )?;
    write_histogram(
        text,
        "call_answer_seconds",
        "From a call to its answer.",
        &session.counters().call_to_reply,
    )
}

fn write_counter(text: &mut String, counter: CounterSample) -> fmt::Result {
    let CounterSample { name, help, value } = counter;
    let name = format!("{PREFIX}_{name}_total");
    writeln!(text, "# HELP {name} {help}\n# TYPE {name} counter")?;
    writeln!(text, "{name} {value}")
}

/// Writes a histogram of times in ms, converted to seconds.
fn write_histogram(
    text: &mut String,
    name: &str,
    help: &str,
    histogram: &DelayHistogram,
) -> fmt::Result {
    let name = format!("{PREFIX}_{name}");
    writeln!(text, "# HELP {name} {help}\n# TYPE {name} histogram")?;
    for bucket in histogram.buckets() {
        let bound = bucket.upper_bound / 1000.0;
        writeln!(text, "{name}_bucket{{le=\"{bound}\"}} {}", bucket.count)?;
    }
    writeln!(text, "{name}_bucket{{le=\"+Inf\"}} {}", histogram.count())?;
    writeln!(text, "{name}_sum {}", histogram.sum() / 1000.0)?;
    writeln!(text, "{name}_count {}", histogram.count())
}
