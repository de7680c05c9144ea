//! An in-memory storage backend that simulates power loss, torn writes and temporary I/O errors.

use redb::StorageBackend;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex};

/// A change made since the last sync, which a power loss may keep, lose or tear.
#[derive(Clone, Debug)]
enum UnsyncedChange {
    Write { offset: usize, bytes: Vec<u8> },
    SetLength(usize),
}

/// A range of disk operations that fail.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Number of operations that succeed before the first failure.
    pub after: usize,
    /// Number of consecutive operations that fail.
    pub count: usize,
}

/// Contents, operation count and failure plan of a disk.
#[derive(Clone, Debug, Default)]
pub struct DiskState {
    /// Bytes at the last sync, which survive a power loss.
    pub synced: Vec<u8>,
    /// Bytes that reads return, including unsynced changes.
    pub visible: Vec<u8>,
    unsynced: Vec<UnsyncedChange>,
    /// Number of write, resize and sync operations so far, including failed ones.
    pub operation_count: usize,
    pub refusal: Option<Refusal>,
}

impl DiskState {
    fn is_refusing(&self) -> bool {
        self.refusal.is_some_and(|Refusal { after, count }| {
            self.operation_count > after && self.operation_count <= after.saturating_add(count)
        })
    }
}

/// An in-memory disk. Clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct Disk(Arc<Mutex<DiskState>>);

impl Disk {
    /// Creates a disk with these synced bytes and an operation count of 0.
    pub fn with_bytes(bytes: Vec<u8>) -> Disk {
        Disk(Arc::new(Mutex::new(DiskState {
            visible: bytes.clone(),
            synced: bytes,
            ..DiskState::default()
        })))
    }

    /// Calls `inspect` with the locked state of the disk.
    pub fn with<T>(&self, inspect: impl FnOnce(&mut DiskState) -> T) -> T {
        inspect(&mut self.0.lock().expect("mutex is not poisoned"))
    }

    pub fn operation_count(&self) -> usize {
        self.with(|disk| disk.operation_count)
    }

    /// Makes all operations after the first `after` ones fail.
    pub fn refuse_after(&self, after: usize) {
        let count = usize::MAX;
        self.with(|disk| disk.refusal = Some(Refusal { after, count }));
    }

    fn change(&self, change: impl FnOnce(&mut DiskState)) -> Result<(), Error> {
        self.with(|disk| {
            disk.operation_count += 1;
            if disk.is_refusing() {
                return Err(Error::new(ErrorKind::StorageFull, "the disk refuses"));
            }
            change(disk);
            Ok(())
        })
    }

    /// Returns a copy of the disk after a power loss. Each unsynced change is kept, lost or torn, as chosen by a random
    /// generator with this seed.
    pub fn after_power_loss(&self, seed: u64) -> Disk {
        let mut random = seed;
        self.with(|disk| {
            let mut surviving = disk.synced.clone();
            for change in &disk.unsynced {
                random = random
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(1_442_695_040_888_963_407);
                match change {
                    UnsyncedChange::SetLength(length) => {
                        // One in four truncations is lost, so that the synced bytes behind it are kept.
                        let kept = if random >> 62 == 0 {
                            surviving.len()
                        } else {
                            0
                        };
                        surviving.resize((*length).max(kept), 0);
                    }
                    UnsyncedChange::Write { offset, bytes } => {
                        let torn = (random >> 40) as usize % (bytes.len() + 1);
                        let part = [0, bytes.len(), torn][(random >> 33) as usize % 3];
                        surviving.resize(surviving.len().max(offset + part), 0);
                        surviving[*offset..offset + part].copy_from_slice(&bytes[..part]);
                    }
                }
            }
            Disk::with_bytes(surviving)
        })
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64, Error> {
        Ok(self.with(|disk| disk.visible.len() as u64))
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let from = offset as usize;
        self.with(|disk| out.copy_from_slice(&disk.visible[from..from + out.len()]));
        Ok(())
    }

    fn set_len(&self, length: u64) -> Result<(), Error> {
        let length = length as usize;
        self.change(|disk| {
            disk.visible.resize(length, 0);
            disk.unsynced.push(UnsyncedChange::SetLength(length));
        })
    }

    fn sync_data(&self) -> Result<(), Error> {
        self.change(|disk| {
            disk.synced = disk.visible.clone();
            disk.unsynced.clear();
        })
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        let (offset, bytes) = (offset as usize, data.to_vec());
        self.change(|disk| {
            disk.visible[offset..offset + bytes.len()].copy_from_slice(&bytes);
            disk.unsynced.push(UnsyncedChange::Write { offset, bytes });
        })
    }
}
