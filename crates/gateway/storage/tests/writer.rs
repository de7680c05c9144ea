//! The storage thread: batches that wait share a sync, and a disk that stalls is seen.

mod common;

use common::{batch, claim};
use redb::StorageBackend;
use redb::backends::InMemoryBackend;
use rushcourse_consensus::{BatchId, WriteBatch, WriteOperation};
use rushcourse_storage::{DiskHealth, Store, WriteOutcome, run_writer};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Nothing here takes longer; what does not come fails by this.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Holds up the first sync once it is armed.
#[derive(Debug)]
struct Stall {
    is_armed: AtomicBool,
    /// Until something comes here.
    release: Mutex<Option<Receiver<()>>>,
    /// Says that the sync has begun.
    begun: Mutex<Sender<()>>,
}

impl Stall {
    fn hold_up(&self) {
        if !self.is_armed.load(Ordering::SeqCst) {
            return;
        }
        let Some(release) = self.release.lock().expect("one thread").take() else {
            return;
        };
        let begun = self.begun.lock().expect("one thread");
        begun.send(()).expect("the test listens");
        release.recv_timeout(TIMEOUT).expect("the test goes on");
    }
}

/// A disk in memory that stalls.
#[derive(Debug)]
struct StallingDisk {
    memory: InMemoryBackend,
    stall: Arc<Stall>,
}

impl StorageBackend for StallingDisk {
    fn len(&self) -> Result<u64, std::io::Error> {
        self.memory.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        self.memory.read(offset, out)
    }

    fn set_len(&self, len: u64) -> Result<(), std::io::Error> {
        self.memory.set_len(len)
    }

    fn sync_data(&self) -> Result<(), std::io::Error> {
        self.stall.hold_up();
        self.memory.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        self.memory.write(offset, data)
    }
}

/// A store whose first sync waits once the stall is armed.
struct StalledStore {
    store: Store,
    stall: Arc<Stall>,
    has_begun: Receiver<()>,
    release: Sender<()>,
}

impl StalledStore {
    fn open() -> StalledStore {
        let (begun, has_begun) = channel();
        let (release, released) = channel();
        let stall = Arc::new(Stall {
            is_armed: AtomicBool::new(false),
            release: Mutex::new(Some(released)),
            begun: Mutex::new(begun),
        });
        let of_disk = stall.clone();
        let disk = move || StallingDisk {
            memory: InMemoryBackend::new(),
            stall: of_disk.clone(),
        };
        let (store, _) = Store::open_with_backend(disk).expect("a disk");
        StalledStore {
            store,
            stall,
            has_begun,
            release,
        }
    }
}

/// A storage thread at work.
struct StorageThread {
    batches: Sender<WriteBatch>,
    outcomes: Receiver<Vec<WriteOutcome>>,
    health: Arc<DiskHealth>,
    handle: JoinHandle<()>,
}

impl StorageThread {
    fn start(store: Store) -> StorageThread {
        let (batches, to_write) = channel();
        let (report, outcomes) = channel();
        let health = Arc::new(DiskHealth::default());
        let of_thread = health.clone();
        let handle = std::thread::spawn(move || {
            run_writer(store, &to_write, &of_thread, |outcomes| {
                report.send(outcomes).expect("the test listens");
            });
        });
        StorageThread {
            batches,
            outcomes,
            health,
            handle,
        }
    }

    /// Sends a batch of one claim.
    fn send(&self, number: u64) {
        let operations = vec![WriteOperation::StoreClaim(claim(number))];
        self.batches
            .send(batch(number, operations))
            .expect("it works");
    }

    fn next_outcomes(&self) -> Vec<WriteOutcome> {
        self.outcomes.recv_timeout(TIMEOUT).expect("outcomes")
    }
}

/// A disk that stalls: its one write waits, all batches that come meanwhile wait behind it and share the next sync, and
/// the statistics say for how long it has been so.
#[test]
fn a_disk_that_stalls_is_seen_and_batches_that_waited_share_one_sync() {
    let stalled = StalledStore::open();
    stalled.stall.is_armed.store(true, Ordering::SeqCst);
    let thread = StorageThread::start(stalled.store);

    thread.send(1);
    let has_begun = stalled.has_begun.recv_timeout(TIMEOUT);
    has_begun.expect("the sync has begun");
    (2..50).for_each(|number| thread.send(number));
    assert!(
        thread.health.statistics().current_write.is_some(),
        "a write is under way"
    );
    assert!(
        thread.outcomes.try_recv().is_err(),
        "nothing is reported that is not synced"
    );

    stalled.release.send(()).expect("it waits");
    assert_eq!(thread.next_outcomes(), [WriteOutcome::Synced(BatchId(1))]);
    let others: Vec<WriteOutcome> = (2..50).map(BatchId).map(WriteOutcome::Synced).collect();
    assert_eq!(thread.next_outcomes(), others, "all others in one sync");

    drop(thread.batches);
    thread.handle.join().expect("it ends with its sender");
    let statistics = thread.health.statistics();
    assert_eq!((statistics.syncs, statistics.refused_syncs), (2, 0));
    assert_eq!(statistics.current_write, None);
    assert!(statistics.longest_sync >= statistics.last_sync);
}
