//! The log: lines on standard error, written by a thread of their own. A full queue drops lines and counts them; the
//! loop never waits for the log.

use slog::{Drain, Logger, OwnedKVList, Record, o};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Lines that may wait to be written.
const MAX_WAITING_LINES: usize = 1024;

/// How many lines the log has dropped; clones count together.
#[derive(Clone, Debug, Default)]
pub(crate) struct DroppedLines(Arc<AtomicU64>);

impl DroppedLines {
    /// How many so far.
    pub(crate) fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Counts the lines that the queue can't take.
struct CountingDrain {
    queue: slog_async::AsyncCore,
    dropped: DroppedLines,
}

impl Drain for CountingDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record, values: &OwnedKVList) -> Result<(), slog::Never> {
        if self.queue.log(record, values).is_err() {
            self.dropped.increment();
        }
        Ok(())
    }
}

/// Starts the log of the director of this name.
pub(crate) fn start(director: &str) -> (Logger, DroppedLines) {
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let lines = slog_term::FullFormat::new(decorator)
        .use_utc_timestamp()
        .build()
        .ignore_res();
    let queue = slog_async::AsyncCore::custom(std::sync::Mutex::new(lines).map(slog::Fuse))
        .chan_size(MAX_WAITING_LINES)
        .build();
    let dropped = DroppedLines::default();
    let drain = CountingDrain {
        queue,
        dropped: dropped.clone(),
    };
    let logger = Logger::root(drain, o!("director" => director.to_string()));
    (logger, dropped)
}
