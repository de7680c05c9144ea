//! Storage thread: pending batches share a sync, and a stalled write shows up in the statistics.

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

/// Timeout after which a blocking receive fails the test.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Blocks the first sync after it is armed until the test releases it.
#[derive(Debug)]
struct Stall {
    is_armed: AtomicBool,
    /// The blocked sync waits for a message on this channel; taken by the first blocked sync.
    release: Mutex<Option<Receiver<()>>>,
    /// Notified when the blocked sync starts.
    started: Mutex<Sender<()>>,
}

impl Stall {
    fn block_sync(&self) {
        if !self.is_armed.load(Ordering::SeqCst) {
            return;
        }
        let Some(release) = self.release.lock().expect("mutex is not poisoned").take() else {
            return;
        };
        let started = self.started.lock().expect("mutex is not poisoned");
        started.send(()).expect("test is receiving");
        release
            .recv_timeout(TIMEOUT)
            .expect("test releases the sync");
    }
}

/// An in-memory backend whose syncs can be blocked.
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
        self.stall.block_sync();
        self.memory.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        self.memory.write(offset, data)
    }
}

/// A store on a stallable disk, with the channels that control the stall.
struct StallableStore {
    store: Store,
    stall: Arc<Stall>,
    sync_started: Receiver<()>,
    release: Sender<()>,
}

impl StallableStore {
    fn open() -> StallableStore {
        let (started, sync_started) = channel();
        let (release, released) = channel();
        let stall = Arc::new(Stall {
            is_armed: AtomicBool::new(false),
            release: Mutex::new(Some(released)),
            started: Mutex::new(started),
        });
        let disk_stall = stall.clone();
        let disk = move || StallingDisk {
            memory: InMemoryBackend::new(),
            stall: disk_stall.clone(),
        };
        let (store, _) = Store::open_with_backend(disk).expect("open a store");
        StallableStore {
            store,
            stall,
            sync_started,
            release,
        }
    }
}

/// A running storage thread with its input, outcomes and statistics.
struct StorageThread {
    batches: Sender<WriteBatch>,
    outcomes: Receiver<Vec<WriteOutcome>>,
    health: Arc<DiskHealth>,
    handle: JoinHandle<()>,
}

impl StorageThread {
    fn start(store: Store) -> StorageThread {
        let (batches, batch_receiver) = channel();
        let (report, outcomes) = channel();
        let health = Arc::new(DiskHealth::default());
        let thread_health = health.clone();
        let handle = std::thread::spawn(move || {
            run_writer(store, &batch_receiver, &thread_health, |outcomes| {
                report.send(outcomes).expect("test is receiving");
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
            .expect("storage thread is running");
    }

    fn next_outcomes(&self) -> Vec<WriteOutcome> {
        self.outcomes
            .recv_timeout(TIMEOUT)
            .expect("outcomes are reported")
    }
}

/// While one sync is stalled, later batches queue up and are committed together by the next sync.
#[test]
fn stalled_write_is_reported_and_pending_batches_share_one_sync() {
    let stalled = StallableStore::open();
    stalled.stall.is_armed.store(true, Ordering::SeqCst);
    let thread = StorageThread::start(stalled.store);

    thread.send(1);
    let sync_started = stalled.sync_started.recv_timeout(TIMEOUT);
    sync_started.expect("sync has started");
    (2..50).for_each(|number| thread.send(number));
    assert!(
        thread.health.statistics().current_write.is_some(),
        "a write is in progress"
    );
    assert!(
        thread.outcomes.try_recv().is_err(),
        "no outcome is reported before the sync"
    );

    stalled.release.send(()).expect("sync is waiting");
    assert_eq!(thread.next_outcomes(), [WriteOutcome::Synced(BatchId(1))]);
    let others: Vec<WriteOutcome> = (2..50).map(BatchId).map(WriteOutcome::Synced).collect();
    assert_eq!(thread.next_outcomes(), others, "one sync for all others");

    drop(thread.batches);
    thread
        .handle
        .join()
        .expect("storage thread exits when the sender is dropped");
    let statistics = thread.health.statistics();
    assert_eq!((statistics.syncs, statistics.refused_syncs), (2, 0));
    assert_eq!(statistics.current_write, None);
    assert!(statistics.longest_sync >= statistics.last_sync);
}
