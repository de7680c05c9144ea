//! Prints the size of a state file and the time to open it, by the number of claims and hosts it holds.

use rushcourse_consensus::{BatchId, StoredClaim, WriteBatch, WriteOperation};
use rushcourse_messages::{
    AcceptorRecord, Ballot, HostRecord, HostState, Proposal, Slot, SlotRecord, VotingSet,
};
use rushcourse_storage::Store;
use rushcourse_types::{
    CallSequence, ClaimId, ConfigurationVersion, Epoch, Incarnation, KeyDigest, Millis, NodeId,
    WallTime,
};
use std::path::Path;
use std::time::{Duration, Instant};

/// Size of the configuration text in bytes.
const TEXT_BYTES: usize = 8_000;

/// Number of claims committed per sync while the file is built.
const CLAIMS_PER_SYNC: u64 = 200;

/// Number of claims and hosts in a state file.
#[derive(Clone, Copy)]
struct Size {
    claims: u64,
    hosts: u32,
}

const SIZES: [Size; 5] = [
    Size {
        claims: 0,
        hosts: 0,
    },
    Size {
        claims: 1_000,
        hosts: 30,
    },
    Size {
        claims: 11_000,
        hosts: 30,
    },
    Size {
        claims: 65_000,
        hosts: 255,
    },
    Size {
        claims: 200_000,
        hosts: 1_000,
    },
];

/// Returns an operation that stores a vote for a configuration of [`TEXT_BYTES`] bytes.
fn configuration() -> WriteOperation {
    let ballot = Ballot {
        round: 1,
        node: NodeId(1),
        incarnation: Incarnation(2),
    };
    let record = AcceptorRecord {
        promised: ballot,
        accepted: Some(Proposal {
            ballot,
            value: vec![b'x'; TEXT_BYTES].into(),
        }),
        is_vote: true,
    };
    WriteOperation::StoreRecord(SlotRecord {
        slot: Slot::Configuration(ConfigurationVersion(1)),
        record,
    })
}

fn voting_set() -> WriteOperation {
    WriteOperation::StoreVotingSet(VotingSet {
        epoch: Epoch(1),
        members: [1, 2, 3, 4, 5].map(NodeId).to_vec(),
    })
}

fn host(number: u32) -> WriteOperation {
    WriteOperation::StoreHost(HostRecord {
        id: format!("i-{number:010x}").into(),
        service: "orders".into(),
        zone: "north".into(),
        address: format!("10.0.{}.{}:8540", number / 250, number % 250).into(),
        slots: 4,
        state: HostState::Ready,
        sequence: CallSequence(1),
        warm_up: Millis(0),
        age: Millis(0),
    })
}

fn claim(number: u64) -> WriteOperation {
    let high = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    WriteOperation::StoreClaim(StoredClaim {
        key: KeyDigest(u128::from(high) << 64 | u128::from(number)),
        alias: None,
        id: ClaimId {
            node: NodeId(1),
            incarnation: Incarnation(2),
            number,
        },
        claimed_at: WallTime(1_000 + number),
    })
}

fn write(store: &mut Store, operations: Vec<WriteOperation>) {
    let batch = WriteBatch {
        id: BatchId(1),
        operations,
    };
    store.write(&[batch]).expect("write succeeds");
}

fn make(file: &Path, size: Size) {
    let (mut store, _) = Store::open(file).expect("create a state file");
    let mut first = vec![
        voting_set(),
        WriteOperation::MarkStateComplete,
        configuration(),
    ];
    first.extend((0..size.hosts).map(host));
    write(&mut store, first);
    for part in 0..size.claims.div_ceil(CLAIMS_PER_SYNC) {
        let from = part * CLAIMS_PER_SYNC;
        let to = (from + CLAIMS_PER_SYNC).min(size.claims);
        write(&mut store, (from..to).map(claim).collect());
    }
}

fn measure(file: &Path, size: Size) {
    let began = Instant::now();
    let (mut store, state) = Store::open(file).expect("open the state file");
    let open_time = began.elapsed();
    assert_eq!(state.claims.len() as u64, size.claims);
    assert_eq!(state.hosts.len() as u32, size.hosts);
    assert_eq!(state.records.len(), 1);

    let began = Instant::now();
    write(&mut store, vec![WriteOperation::MarkStateComplete]);
    let write_time = began.elapsed();
    let bytes = std::fs::metadata(file).map_or(0, |metadata| metadata.len());
    let millis = |span: Duration| span.as_secs_f64() * 1000.0;
    println!(
        "{:>8} {:>8} {bytes:>12} {:>10.1} {:>12.2}",
        size.claims,
        size.hosts,
        millis(open_time),
        millis(write_time)
    );
}

fn main() {
    println!(
        "{:>8} {:>8} {:>12} {:>10} {:>12}",
        "claims", "hosts", "bytes", "open ms", "first write"
    );
    for size in SIZES {
        let directory = tempfile::tempdir().expect("create a temporary directory");
        let file = directory.path().join("controller.redb");
        make(&file, size);
        measure(&file, size);
    }
}
