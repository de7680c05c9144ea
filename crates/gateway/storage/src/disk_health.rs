//! Sync statistics for status pages, updated by the storage thread and read by other threads without locks.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// Shared sync counters of one storage thread. Times are microseconds on a monotonic clock that starts at creation.
#[derive(Debug)]
pub struct DiskHealth {
    started_at: Instant,
    syncs: AtomicU64,
    refused_syncs: AtomicU64,
    last_sync_us: AtomicU64,
    longest_sync_us: AtomicU64,
    /// Start of the write in progress plus one microsecond; 0 while no write is in progress.
    write_started: AtomicU64,
}

/// Sync statistics of the storage thread at one point in time, returned by [`DiskHealth::statistics`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DiskStatistics {
    /// Number of writes that were synced.
    pub syncs: u64,
    /// Number of writes that failed.
    pub refused_syncs: u64,
    /// Duration of the last completed write, successful or not; zero before the first one.
    pub last_sync: Duration,
    /// Duration of the longest completed write, successful or not; zero before the first one.
    pub longest_sync: Duration,
    /// Time since the write in progress started, or `None` if no write is in progress. Keeps growing while the disk
    /// stalls.
    pub current_write: Option<Duration>,
}

impl Default for DiskHealth {
    fn default() -> DiskHealth {
        DiskHealth {
            started_at: Instant::now(),
            syncs: AtomicU64::new(0),
            refused_syncs: AtomicU64::new(0),
            last_sync_us: AtomicU64::new(0),
            longest_sync_us: AtomicU64::new(0),
            write_started: AtomicU64::new(0),
        }
    }
}

impl DiskHealth {
    fn now_us(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    /// Runs one write and records its duration and result.
    pub(crate) fn measure_write<T, E>(&self, write: impl FnOnce() -> Result<T, E>) -> Result<T, E> {
        let started_us = self.now_us();
        self.write_started.store(started_us + 1, Relaxed);
        let result = write();
        let elapsed_us = self.now_us() - started_us;
        self.write_started.store(0, Relaxed);
        self.last_sync_us.store(elapsed_us, Relaxed);
        self.longest_sync_us.fetch_max(elapsed_us, Relaxed);
        let counter = if result.is_ok() {
            &self.syncs
        } else {
            &self.refused_syncs
        };
        counter.fetch_add(1, Relaxed);
        result
    }

    /// Returns the current values. They are loaded one by one, so a concurrent write may be included in only some of
    /// them.
    pub fn statistics(&self) -> DiskStatistics {
        let write_started = self.write_started.load(Relaxed);
        let elapsed_us = || (self.now_us() + 1).saturating_sub(write_started);
        DiskStatistics {
            syncs: self.syncs.load(Relaxed),
            refused_syncs: self.refused_syncs.load(Relaxed),
            last_sync: Duration::from_micros(self.last_sync_us.load(Relaxed)),
            longest_sync: Duration::from_micros(self.longest_sync_us.load(Relaxed)),
            current_write: (write_started > 0).then(|| Duration::from_micros(elapsed_us())),
        }
    }
}
