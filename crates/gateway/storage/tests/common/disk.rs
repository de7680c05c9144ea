//! A disk in memory that loses power, with later writes there, missing or torn, or refuses for a while.

use redb::StorageBackend;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex};

/// What has happened to a disk since its last sync.
#[derive(Clone, Debug)]
enum UnsyncedChange {
    Write { offset: usize, bytes: Vec<u8> },
    SetLength(usize),
}

/// Operations that a disk refuses.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Operations before the first refused one.
    pub after: usize,
    /// How many are refused.
    pub count: usize,
}

/// What a disk holds and does.
#[derive(Clone, Debug, Default)]
pub struct DiskState {
    /// What a loss of power leaves for sure.
    pub synced: Vec<u8>,
    /// What the program reads.
    pub visible: Vec<u8>,
    unsynced: Vec<UnsyncedChange>,
    /// Operations so far, refused ones too.
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

/// A disk in memory. Clones share what they hold.
#[derive(Clone, Debug, Default)]
pub struct Disk(Arc<Mutex<DiskState>>);

impl Disk {
    /// A disk that holds these bytes and has done nothing.
    pub fn holding(bytes: Vec<u8>) -> Disk {
        Disk(Arc::new(Mutex::new(DiskState {
            visible: bytes.clone(),
            synced: bytes,
            ..DiskState::default()
        })))
    }

    /// Looks at the disk, or changes it.
    pub fn with<T>(&self, look: impl FnOnce(&mut DiskState) -> T) -> T {
        look(&mut self.0.lock().expect("one test, one thread"))
    }

    pub fn operation_count(&self) -> usize {
        self.with(|disk| disk.operation_count)
    }

    /// Refuses all operations after these.
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

    /// The disk after a loss of power: of what was not synced each write is there, missing or torn, by random numbers
    /// from this seed.
    pub fn after_power_loss(&self, seed: u64) -> Disk {
        let mut random = seed;
        self.with(|disk| {
            let mut left = disk.synced.clone();
            for change in &disk.unsynced {
                random = random
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(1_442_695_040_888_963_407);
                match change {
                    UnsyncedChange::SetLength(length) => {
                        // A length that was cut back takes synced bytes only where it got through.
                        let kept = if random >> 62 == 0 { left.len() } else { 0 };
                        left.resize((*length).max(kept), 0);
                    }
                    UnsyncedChange::Write { offset, bytes } => {
                        let torn = (random >> 40) as usize % (bytes.len() + 1);
                        let part = [0, bytes.len(), torn][(random >> 33) as usize % 3];
                        left.resize(left.len().max(offset + part), 0);
                        left[*offset..offset + part].copy_from_slice(&bytes[..part]);
                    }
                }
            }
            Disk::holding(left)
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
