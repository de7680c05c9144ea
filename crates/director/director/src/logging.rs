//! Logging to standard error. A separate thread writes the lines; if its queue is full, lines are dropped and counted,
//! so that the event loop never blocks on the log.

use slog::{Drain, Logger, OwnedKVList, Record, o};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Capacity of the log queue, in lines.
const MAX_QUEUED_LINES: usize = 1024;

/// Counts dropped log lines. Clones share the counter.
#[derive(Clone, Debug, Default)]
pub(crate) struct DroppedLines(Arc<AtomicU64>);

impl DroppedLines {
    pub(crate) fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Counts the lines that don't fit in the queue instead of failing.
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

/// Starts the logging thread. Every line holds the name of the director.
pub(crate) fn start(director: &str) -> (Logger, DroppedLines) {
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let lines = slog_term::FullFormat::new(decorator)
        .use_utc_timestamp()
        .build()
        .ignore_res();
    let queue = slog_async::AsyncCore::custom(std::sync::Mutex::new(lines).map(slog::Fuse))
        .chan_size(MAX_QUEUED_LINES)
        .build();
    let dropped = DroppedLines::default();
    let drain = CountingDrain {
        queue,
        dropped: dropped.clone(),
    };
    let logger = Logger::root(drain, o!("director" => director.to_string()));
    (logger, dropped)
}
