//! The state file: what is synced is there again, a file of another form is left alone.

mod common;

use common::batch;
use redb::StorageBackend;
use redb::backends::InMemoryBackend;
use rushcourse_consensus::{BatchId, PruneBounds, StoredClaim, WriteOperation};
use rushcourse_messages::{
    AcceptorRecord, Ballot, ClaimId, HostRecord, HostState, Proposal, Slot, SlotRecord, VotingSet,
};
use rushcourse_storage::{DiskHealth, StorageError, Store, WriteOutcome};
use rushcourse_types::{
    CallSequence, ConfigurationVersion, Epoch, Incarnation, KeyDigest, Millis, NodeId, WallTime,
};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Nothing here takes longer; what does not come fails by this.
const MOST: Duration = Duration::from_secs(10);

/// Holds up the first sync once it is armed.
#[derive(Debug)]
struct Stall {
    armed: AtomicBool,
    gate: Mutex<Option<Receiver<()>>>,
    entered: Mutex<Sender<()>>,
}

/// A disk in memory that stalls.
#[derive(Debug)]
struct StallingDisk(InMemoryBackend, Arc<Stall>);

impl StorageBackend for StallingDisk {
    fn len(&self) -> Result<u64, std::io::Error> {
        self.0.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        self.0.read(offset, out)
    }

    fn set_len(&self, len: u64) -> Result<(), std::io::Error> {
        self.0.set_len(len)
    }

    fn sync_data(&self) -> Result<(), std::io::Error> {
        if self.1.armed.load(Ordering::SeqCst)
            && let Some(gate) = self.1.gate.lock().expect("one thread").take()
        {
            self.1
                .entered
                .lock()
                .expect("one thread")
                .send(())
                .expect("the test listens");
            gate.recv_timeout(MOST).expect("the test goes on");
        }
        self.0.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        self.0.write(offset, data)
    }
}

fn place(name: &str) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("rushcourse-storage-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder.join("controller.redb")
}

fn claim(key: u64) -> WriteOperation {
    WriteOperation::StoreClaim(StoredClaim {
        key: KeyDigest(u128::from(key)),
        id: ClaimId {
            node: NodeId(1),
            incarnation: Incarnation(2),
            number: key,
        },
        claimed_at: WallTime(1_000 + key),
    })
}

fn record(round: u64, text: &str) -> AcceptorRecord {
    let ballot = Ballot {
        round,
        node: NodeId(1),
        incarnation: Incarnation(2),
    };
    let accepted = Proposal {
        ballot,
        value: text.as_bytes().into(),
    };
    AcceptorRecord {
        promised: ballot,
        accepted: Some(accepted),
        is_vote: true,
    }
}

fn host(state: HostState) -> HostRecord {
    let word = |w: &str| Arc::<str>::from(w);
    let (id, service, zone, address) = (word("i-1"), word("s"), word("z"), word("10.0.0.1:80"));
    HostRecord {
        id,
        service,
        zone,
        address,
        slots: 4,
        state,
        sequence: CallSequence(1),
        warm_up: Millis(0),
        age: Millis(0),
    }
}

#[test]
fn what_was_written_is_there_again_and_what_was_released_is_not() {
    let file = place("again");
    let set = VotingSet {
        epoch: Epoch(1),
        members: vec![NodeId(1), NodeId(2), NodeId(3)],
    };
    {
        let (mut store, stored) = Store::open(&file).expect("a new file");
        assert_eq!(
            (
                stored.voting_set.epoch,
                stored.has_complete_state,
                stored.claims.len()
            ),
            (Epoch::NONE, false, 0)
        );
        let ops = vec![
            WriteOperation::StoreVotingSet(set.clone()),
            WriteOperation::MarkStateComplete,
            WriteOperation::StoreHost(host(HostState::Ready)),
        ];
        store.write(&[batch(1, ops)]).expect("room");
        let slots = [
            Slot::Configuration(ConfigurationVersion(3)),
            Slot::VotingSet(Epoch(2)),
            Slot::Configuration(ConfigurationVersion(5)),
            Slot::Configuration(ConfigurationVersion(4)),
        ];
        let records = slots.map(|slot| {
            WriteOperation::StoreRecord(SlotRecord {
                slot,
                record: record(1, "earlier"),
            })
        });
        store.write(&[batch(2, records.to_vec())]).expect("room");
        let slot = Slot::Configuration(ConfigurationVersion(5));
        store
            .write(&[batch(
                2,
                vec![WriteOperation::StoreRecord(SlotRecord {
                    slot,
                    record: record(2, "later"),
                })],
            )])
            .expect("room");
        let claims: Vec<WriteOperation> = (0..100).map(claim).collect();
        store.write(&[batch(3, claims)]).expect("room");
        store
            .write(&[batch(
                4,
                (0..90)
                    .map(|key| WriteOperation::RemoveClaim(KeyDigest(key)))
                    .collect(),
            )])
            .expect("room");
    }
    let (mut store, stored) = Store::open(&file).expect("the same file");
    assert_eq!((stored.voting_set, stored.has_complete_state), (set, true));
    let expected = [
        (Slot::VotingSet(Epoch(2)), "earlier", 1),
        (Slot::Configuration(ConfigurationVersion(3)), "earlier", 1),
        (Slot::Configuration(ConfigurationVersion(4)), "earlier", 1),
        (Slot::Configuration(ConfigurationVersion(5)), "later", 2),
    ]
    .map(|(slot, text, round)| SlotRecord {
        slot,
        record: record(round, text),
    });
    assert_eq!(
        stored.records, expected,
        "in the order of slots, the last one of each"
    );
    let mut keys: Vec<KeyDigest> = stored.claims.iter().map(|claim| claim.key).collect();
    keys.sort_unstable();
    assert_eq!(keys, (90..100).map(KeyDigest).collect::<Vec<KeyDigest>>());
    assert_eq!(stored.hosts, vec![host(HostState::Ready)]);
    // Released by a later life of the program, which never saw it written.
    store
        .write(&[batch(
            5,
            vec![
                WriteOperation::RemoveClaim(KeyDigest(95)),
                WriteOperation::StoreHost(host(HostState::Gone)),
            ],
        )])
        .expect("room");
    drop(store);
    let (_, stored) = Store::open(&file).expect("the same file");
    assert_eq!((stored.claims.len(), stored.hosts.len()), (9, 0));
}

#[test]
fn what_was_pruned_or_forgotten_is_gone_and_all_else_is_there() {
    let file = place("pruned");
    let slots = [(|n| Slot::VotingSet(Epoch(n))) as fn(u64) -> Slot, |n| {
        Slot::Configuration(ConfigurationVersion(n))
    }]
    .into_iter()
    .flat_map(|kind| (0..10).map(kind));
    let records: Vec<WriteOperation> = slots
        .map(|slot| {
            WriteOperation::StoreRecord(SlotRecord {
                slot,
                record: record(1, "text"),
            })
        })
        .collect();
    let set = VotingSet {
        epoch: Epoch(1),
        members: vec![NodeId(1), NodeId(2), NodeId(3)],
    };
    {
        let (mut store, _) = Store::open(&file).expect("a new file");
        store
            .write(&[
                batch(
                    1,
                    vec![
                        WriteOperation::StoreVotingSet(set.clone()),
                        WriteOperation::MarkStateComplete,
                    ],
                ),
                batch(2, records),
            ])
            .expect("room");
        // Bounds that leave all of one kind: none is below version 0.
        store
            .write(&[batch(
                3,
                vec![WriteOperation::PruneRecords(PruneBounds {
                    versions_below: ConfigurationVersion(0),
                    epochs_through: Epoch(3),
                })],
            )])
            .expect("room");
    }
    let (mut store, stored) = Store::open(&file).expect("the same file");
    let mut expected: Vec<Slot> = (4..10)
        .map(|n| Slot::VotingSet(Epoch(n)))
        .chain((0..10).map(|n| Slot::Configuration(ConfigurationVersion(n))))
        .collect();
    assert_eq!(
        stored
            .records
            .iter()
            .map(|stored| stored.slot)
            .collect::<Vec<Slot>>(),
        expected
    );
    assert!(stored.has_complete_state);
    let slot = Slot::Configuration(ConfigurationVersion(2));
    let ops = vec![
        WriteOperation::PruneRecords(PruneBounds {
            versions_below: ConfigurationVersion(7),
            epochs_through: Epoch(0),
        }),
        // What is written after it in the same batch stays.
        WriteOperation::StoreRecord(SlotRecord {
            slot,
            record: record(3, "again"),
        }),
        WriteOperation::MarkStateIncomplete,
    ];
    store.write(&[batch(4, ops)]).expect("room");
    drop(store);
    let (mut store, stored) = Store::open(&file).expect("the same file");
    expected
        .retain(|s| *s == slot || !matches!(s, Slot::Configuration(ConfigurationVersion(0..7))));
    assert_eq!(
        stored
            .records
            .iter()
            .map(|stored| stored.slot)
            .collect::<Vec<Slot>>(),
        expected
    );
    let again = stored
        .records
        .iter()
        .find(|stored| stored.slot == slot)
        .map(|stored| stored.record.clone());
    assert_eq!(again, Some(record(3, "again")));
    assert_eq!(
        (stored.voting_set, stored.has_complete_state),
        (set, false),
        "it forgot, and counts in its set still"
    );
    let ops = vec![
        WriteOperation::MarkStateIncomplete,
        WriteOperation::PruneRecords(PruneBounds {
            versions_below: ConfigurationVersion(u64::MAX),
            epochs_through: Epoch(u64::MAX),
        }),
        WriteOperation::MarkStateComplete,
    ];
    store.write(&[batch(5, ops)]).expect("room");
    drop(store);
    let (_, stored) = Store::open(&file).expect("the same file");
    assert_eq!((stored.records, stored.has_complete_state), (vec![], true));
}

#[test]
fn a_file_that_is_no_state_file_is_told_and_left_as_it_is() {
    let file = place("other");
    std::fs::write(
        &file,
        b"something else that somebody keeps here, longer than a header",
    )
    .expect("written");
    let before = std::fs::read(&file).expect("there");
    let Err(report) = Store::open(&file) else {
        panic!("it was taken")
    };
    assert!(
        matches!(report.current_context(), StorageError::Unreadable),
        "{report:?}"
    );
    assert_eq!(std::fs::read(&file).expect("there"), before);
}

/// A disk that stalls: its one write waits, all batches that come meanwhile wait behind it and share the next sync, and
/// the page says for how long it has been so.
#[test]
fn a_disk_that_stalls_is_seen_and_what_waited_shares_one_sync() {
    let (entered, stalls) = std::sync::mpsc::channel();
    let (go_on, gate) = std::sync::mpsc::channel::<()>();
    let stall = Arc::new(Stall {
        armed: AtomicBool::new(false),
        gate: Mutex::new(Some(gate)),
        entered: Mutex::new(entered),
    });
    let disk = stall.clone();
    let (store, _) = Store::open_over(move || StallingDisk(InMemoryBackend::new(), disk.clone()))
        .expect("a disk");
    let (send, batches) = std::sync::mpsc::channel();
    let (tell, told) = std::sync::mpsc::channel();
    let health = Arc::new(DiskHealth::default());
    let beside = health.clone();
    stall.armed.store(true, Ordering::SeqCst);
    let storage = std::thread::spawn(move || {
        rushcourse_storage::run_writer(store, &batches, &beside, |done| {
            tell.send(done).expect("it listens")
        });
    });
    let operations = |key: u64| vec![claim(key)];
    send.send(batch(1, operations(1))).expect("it works");
    stalls.recv_timeout(MOST).expect("the sync has begun");
    (2..50).for_each(|number| {
        let waiting = batch(number, operations(number));
        send.send(waiting).expect("it works");
    });
    assert!(
        health.statistics().current_write.is_some(),
        "a write is under way"
    );
    assert!(
        told.try_recv().is_err(),
        "nothing is held that is not synced"
    );
    go_on.send(()).expect("it waits");
    assert_eq!(
        told.recv_timeout(MOST).expect("the first"),
        [WriteOutcome::Synced(BatchId(1))]
    );
    let rest: Vec<WriteOutcome> = (2..50).map(BatchId).map(WriteOutcome::Synced).collect();
    assert_eq!(
        told.recv_timeout(MOST).expect("all others in one sync"),
        rest
    );
    drop(send);
    storage.join().expect("it ends with its sender");
    let doing = health.statistics();
    assert_eq!(
        (doing.syncs, doing.refused_syncs, doing.current_write),
        (2, 0, None)
    );
    assert!(doing.longest_sync >= doing.last_sync);
}
