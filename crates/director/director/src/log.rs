//! The log: lines on standard error, written by a thread of their own. A full queue drops lines and counts
//! them; the loop never waits for a log.

use slog::{Drain, Logger, OwnedKVList, Record, o};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

const QUEUE: usize = 1024;

/// Counts what the queue could not take.
struct Counting {
    queue: slog_async::AsyncCore,
    dropped: Arc<AtomicU64>,
}

impl Drain for Counting {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record, values: &OwnedKVList) -> Result<(), slog::Never> {
        if self.queue.log(record, values).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// The logger, and how many lines it dropped.
pub fn start(name: &str) -> (Logger, Arc<AtomicU64>) {
    let lines = slog_term::PlainDecorator::new(std::io::stderr());
    let lines = slog_term::FullFormat::new(lines)
        .use_utc_timestamp()
        .build()
        .ignore_res();
    let queue = slog_async::AsyncCore::custom(std::sync::Mutex::new(lines).map(slog::Fuse))
        .chan_size(QUEUE)
        .build();
    let dropped = Arc::new(AtomicU64::new(0));
    let drain = Counting {
        queue,
        dropped: dropped.clone(),
    };
    (
        Logger::root(drain, o!("director" => name.to_string())),
        dropped,
    )
}
