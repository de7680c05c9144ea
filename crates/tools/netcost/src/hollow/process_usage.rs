//! What this process itself has used: processor time and resident memory, as the kernel tells it.

use std::fs;

/// Milliseconds of one clock tick of `/proc/self/stat`.
const CLOCK_TICK_MS: f64 = 10.0;
/// Bytes of one page of `/proc/self/statm`.
const PAGE_BYTES: f64 = 4_096.0;
/// Where `utime` stands in `/proc/self/stat`, counted behind the command's closing bracket; `stime` follows.
const USER_TIME_FIELD: usize = 11;

/// Processor time that this process has used, in milliseconds, in steps of 10.
pub fn processor_ms() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let times = fields.split_whitespace().skip(USER_TIME_FIELD).take(2);
    let ticks: f64 = times.filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
    ticks * CLOCK_TICK_MS
}

/// Memory of this process that is resident, in MB (10^6 bytes).
pub fn resident_mb() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    let pages = pages.and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES / 1e6
}

/// Runs something and gives its result with the processor time that it used, in milliseconds.
pub fn timed<T>(run: impl FnOnce() -> T) -> (T, f64) {
    let before = processor_ms();
    let result = run();
    (result, processor_ms() - before)
}
