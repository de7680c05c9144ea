//! How long a controller takes to read its state file, and how large that is, by the claims that it holds. Real time on
//! this machine: a figure to look at, no test.

use rushcourse_consensus::{BatchId, StoredClaim, WriteBatch, WriteOperation};
use rushcourse_messages::{
    AcceptorRecord, Ballot, ClaimId, HostRecord, HostState, Proposal, Slot, SlotRecord, VotingSet,
};
use rushcourse_storage::Store;
use rushcourse_types::{
    CallSequence, ConfigurationVersion, Epoch, Incarnation, KeyDigest, Millis, NodeId, WallTime,
};
use std::time::Instant;

/// Bytes of a configuration's text.
const TEXT: usize = 8_000;

fn batch(number: u64, operations: Vec<WriteOperation>) -> WriteBatch {
    WriteBatch {
        id: BatchId(number),
        operations,
    }
}

/// A vote for a configuration.
fn configuration() -> WriteOperation {
    let ballot = Ballot {
        round: 1,
        node: NodeId(1),
        incarnation: Incarnation(2),
    };
    let accepted = Some(Proposal {
        ballot,
        value: vec![b'x'; TEXT].into(),
    });
    let record = AcceptorRecord {
        promised: ballot,
        accepted,
        is_vote: true,
    };
    WriteOperation::StoreRecord(SlotRecord {
        slot: Slot::Configuration(ConfigurationVersion(1)),
        record,
    })
}

fn main() {
    let folder = std::env::temp_dir().join(format!("rushcourse-recovery-{}", std::process::id()));
    println!(
        "{:>8} {:>8} {:>12} {:>10} {:>12}",
        "claims", "hosts", "bytes", "open ms", "first write"
    );
    for (claims, hosts) in [
        (0u64, 0u32),
        (1_000, 30),
        (11_000, 30),
        (65_000, 255),
        (200_000, 1_000),
    ] {
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let file = folder.join("controller.redb");
        let (mut store, _) = Store::open(&file).expect("a new file");
        let host = |k: u32| HostRecord {
            id: format!("i-{k:010x}").into(),
            service: "orders".into(),
            zone: "north".into(),
            address: format!("10.0.{}.{}:8540", k / 250, k % 250).into(),
            slots: 4,
            state: HostState::Ready,
            sequence: CallSequence(1),
            warm_up: Millis(0),
            age: Millis(0),
        };
        let set = VotingSet {
            epoch: Epoch(1),
            members: vec![NodeId(1), NodeId(2), NodeId(3), NodeId(4), NodeId(5)],
        };
        let first = [
            WriteOperation::StoreVotingSet(set),
            WriteOperation::MarkStateComplete,
            configuration(),
        ]
        .into_iter()
        .chain((0..hosts).map(|k| WriteOperation::StoreHost(host(k))));
        store.write(&[batch(1, first.collect())]).expect("room");
        // As they come: some at a sync.
        for part in 0..claims.div_ceil(200) {
            let claim = |k: u64| {
                let key = u128::from(k.wrapping_mul(0x9e37_79b9_7f4a_7c15)) << 64 | u128::from(k);
                WriteOperation::StoreClaim(StoredClaim {
                    key: KeyDigest(key),
                    id: ClaimId {
                        node: NodeId(1),
                        incarnation: Incarnation(2),
                        number: k,
                    },
                    claimed_at: WallTime(1_000 + k),
                })
            };
            let of = part * 200..(part * 200 + 200).min(claims);
            store
                .write(&[batch(2, of.map(claim).collect())])
                .expect("room");
        }
        drop(store);
        let begun = Instant::now();
        let (mut store, stored) = Store::open(&file).expect("the same file");
        let opened = begun.elapsed();
        assert_eq!(
            (stored.claims.len() as u64, stored.hosts.len() as u32),
            (claims, hosts)
        );
        assert_eq!(stored.records.len(), 1);
        let begun = Instant::now();
        store
            .write(&[batch(3, vec![WriteOperation::MarkStateComplete])])
            .expect("room");
        let (wrote, bytes) = (
            begun.elapsed(),
            std::fs::metadata(&file).map_or(0, |m| m.len()),
        );
        let ms = |d: std::time::Duration| d.as_secs_f64() * 1000.0;
        println!(
            "{claims:>8} {hosts:>8} {bytes:>12} {:>10.1} {:>12.2}",
            ms(opened),
            ms(wrote)
        );
    }
    let _ = std::fs::remove_dir_all(&folder);
}
