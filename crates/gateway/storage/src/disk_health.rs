//! Statistics of the disk for status pages: updated by the storage thread, read by any other.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// The statistics of one run of the storage thread. All times are microseconds of a steady clock that starts with it.
#[derive(Debug)]
pub struct DiskHealth {
    started_at: Instant,
    syncs: AtomicU64,
    refused_syncs: AtomicU64,
    last_sync_us: AtomicU64,
    longest_sync_us: AtomicU64,
    /// When the current write began, plus one; 0: there is none.
    write_started: AtomicU64,
}

/// What the storage thread has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DiskStatistics {
    /// Syncs that succeeded.
    pub syncs: u64,
    /// Syncs that the disk refused.
    pub refused_syncs: u64,
    /// The duration of the last sync, refused or not.
    pub last_sync: Duration,
    /// The duration of the longest sync.
    pub longest_sync: Duration,
    /// How long the current write has taken so far, if there is one. It grows while a disk stalls.
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

    /// Measures one write.
    pub(crate) fn measure<T, E>(&self, write: impl FnOnce() -> Result<T, E>) -> Result<T, E> {
        let began = self.now_us();
        self.write_started.store(began + 1, Relaxed);
        let result = write();
        let took = self.now_us() - began;
        self.write_started.store(0, Relaxed);
        self.last_sync_us.store(took, Relaxed);
        self.longest_sync_us.fetch_max(took, Relaxed);
        let count = if result.is_ok() {
            &self.syncs
        } else {
            &self.refused_syncs
        };
        count.fetch_add(1, Relaxed);
        result
    }

    /// The statistics so far. The values are read one after the other, while writes go on.
    pub fn statistics(&self) -> DiskStatistics {
        let write_started = self.write_started.load(Relaxed);
        let current_us = || (self.now_us() + 1).saturating_sub(write_started);
        DiskStatistics {
            syncs: self.syncs.load(Relaxed),
            refused_syncs: self.refused_syncs.load(Relaxed),
            last_sync: Duration::from_micros(self.last_sync_us.load(Relaxed)),
            longest_sync: Duration::from_micros(self.longest_sync_us.load(Relaxed)),
            current_write: (write_started > 0).then(|| Duration::from_micros(current_us())),
        }
    }
}
