//! A disk in memory that loses power, with later writes there, missing or torn, or refuses for a while.

use redb::StorageBackend;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex};

#[derive(Clone, Debug, Default)]
pub struct Platter {
    /// What a loss of power leaves for sure.
    pub synced: Vec<u8>,
    /// What the program reads.
    pub seen: Vec<u8>,
    /// Writes and lengths since the last sync.
    since: Vec<(usize, Vec<u8>, Option<usize>)>,
    /// Operations so far, refused ones too.
    pub done: usize,
    /// From this operation on each is refused, this often.
    pub refuses: Option<(usize, usize)>,
}

/// A disk in memory. Clones share what they hold.
#[derive(Clone, Debug, Default)]
pub struct Disk(Arc<Mutex<Platter>>);

impl Disk {
    /// A disk that holds these bytes and has done nothing.
    pub fn holding(bytes: Vec<u8>) -> Disk {
        Disk(Arc::new(Mutex::new(Platter {
            seen: bytes.clone(),
            synced: bytes,
            ..Platter::default()
        })))
    }

    pub fn at<T>(&self, what: impl FnOnce(&mut Platter) -> T) -> T {
        what(&mut self.0.lock().expect("one test, one thread"))
    }

    fn change(&self, what: impl FnOnce(&mut Platter)) -> Result<(), Error> {
        self.at(|p| {
            p.done += 1;
            if p.refuses
                .is_some_and(|(from, times)| p.done > from && p.done <= from.saturating_add(times))
            {
                return Err(Error::new(ErrorKind::StorageFull, "the disk refuses"));
            }
            what(p);
            Ok(())
        })
    }

    /// The disk after a loss of power: of what was not synced each write is there, missing or torn, by lot.
    pub fn after_power(&self, mut lot: u64) -> Disk {
        self.at(|p| {
            let mut left = p.synced.clone();
            for (offset, bytes, length) in &p.since {
                lot = lot
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(1_442_695_040_888_963_407);
                if let Some(length) = length {
                    // A length that was cut back takes synced bytes only where it got through.
                    let kept = if lot >> 62 == 0 { left.len() } else { 0 };
                    left.resize((*length).max(kept), 0);
                    continue;
                }
                let part = [0, bytes.len(), (lot >> 40) as usize % (bytes.len() + 1)]
                    [(lot >> 33) as usize % 3];
                left.resize(left.len().max(offset + part), 0);
                left[*offset..offset + part].copy_from_slice(&bytes[..part]);
            }
            Disk::holding(left)
        })
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64, Error> {
        Ok(self.at(|p| p.seen.len() as u64))
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let from = offset as usize;
        self.at(|p| out.copy_from_slice(&p.seen[from..from + out.len()]));
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        self.change(|p| {
            p.seen.resize(len as usize, 0);
            p.since.push((0, Vec::new(), Some(len as usize)));
        })
    }

    fn sync_data(&self) -> Result<(), Error> {
        self.change(|p| {
            p.synced = p.seen.clone();
            p.since.clear();
        })
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        self.change(|p| {
            let from = offset as usize;
            p.seen[from..from + data.len()].copy_from_slice(data);
            p.since.push((from, data.to_vec(), None));
        })
    }
}
