//! How the disk is doing, for pages: written by the thread that works on it, read by any other.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Instant;

/// Of one run of the storage thread. Times in microseconds of its steady clock.
#[derive(Debug)]
pub struct Health {
    start: Instant,
    syncs: AtomicU64,
    refused: AtomicU64,
    last_us: AtomicU64,
    most_us: AtomicU64,
    /// When the write that is under way began, one more; 0: none is.
    writing: AtomicU64,
}

/// What the storage thread has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Doing {
    pub syncs: u64,
    /// Syncs that the disk refused.
    pub refused: u64,
    /// ms that the last sync and the longest one took.
    pub last_ms: f64,
    pub most_ms: f64,
    /// ms since a write began that is not done: a disk that stalls.
    pub writing_ms: Option<f64>,
}

impl Default for Health {
    fn default() -> Health {
        let zero = || AtomicU64::new(0);
        Health {
            start: Instant::now(),
            syncs: zero(),
            refused: zero(),
            last_us: zero(),
            most_us: zero(),
            writing: zero(),
        }
    }
}

impl Health {
    fn now_us(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// Times one write.
    pub(crate) fn time<T, E>(&self, write: impl FnOnce() -> Result<T, E>) -> Result<T, E> {
        let begun = self.now_us();
        self.writing.store(begun + 1, Relaxed);
        let done = write();
        let took = self.now_us() - begun;
        self.writing.store(0, Relaxed);
        self.last_us.store(took, Relaxed);
        self.most_us.fetch_max(took, Relaxed);
        if done.is_ok() {
            &self.syncs
        } else {
            &self.refused
        }
        .fetch_add(1, Relaxed);
        done
    }

    pub fn doing(&self) -> Doing {
        let ms = |us: u64| us as f64 / 1000.0;
        let begun = self.writing.load(Relaxed);
        Doing {
            syncs: self.syncs.load(Relaxed),
            refused: self.refused.load(Relaxed),
            last_ms: ms(self.last_us.load(Relaxed)),
            most_ms: ms(self.most_us.load(Relaxed)),
            writing_ms: (begun > 0).then(|| ms((self.now_us() + 1).saturating_sub(begun))),
        }
    }
}
