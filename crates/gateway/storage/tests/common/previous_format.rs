//! Files of format 1 as earlier builds wrote them, built from literal bytes independent of the current encoders.

use super::tables::{CLAIMS, CONFIGURATIONS, HOSTS, META};
use super::{version, voting_set};
use redb::{Database, ReadableDatabase, TableHandle};
use rushcourse_consensus::{DurableState, StoredClaim};
use rushcourse_messages::{AcceptorRecord, Ballot, HostRecord, HostState, Proposal, SlotRecord};
use rushcourse_types::{
    CallSequence, ClaimId, Generation, Incarnation, KeyDigest, Millis, NodeId, WallTime,
};
use std::path::Path;

/// Encoded voting set of epoch 300 with members 1, 2 and 10.0.0.1.
pub const SET: &[u8] = &[0xac, 0x02, 3, 1, 2, 0x81, 0x80, 0x80, 0x50];
/// Encoded ready host "i-1": service "s", zone "z", address "a:80", 4 slots, sequence 300, warm-up 2 ms, age 1 ms.
const HOST: &[u8] = &[
    3, b'i', b'-', b'1', 1, b's', 1, b'z', 4, b'a', b':', b'8', b'0', 4, 0, 0xac, 0x02, 2, 1,
];
const OLDER: &[u8] = b"an older configuration";
const NEWEST: &[u8] = b"{\"version\": 5}";
/// Digest of [`NEWEST`] with seed 13 (FNV-1a with a final mix), computed independently of the program.
const NEWEST_DIGEST: u64 = 0x53a8_d65e_07bd_bb8f;

/// Contents of a format 1 file: format number, encoded voting set, and configuration texts by version.
#[derive(Clone, Copy)]
pub struct PreviousFile {
    pub format: u64,
    pub set: &'static [u8],
    pub configurations: &'static [(u64, &'static [u8])],
}

pub const VALID: PreviousFile = PreviousFile {
    format: 1,
    set: SET,
    configurations: &[(4, OLDER), (5, NEWEST)],
};

impl PreviousFile {
    pub fn write(&self, database: &Database) {
        let transaction = database.begin_write().expect("begin a transaction");
        {
            let mut meta = transaction.open_table(META).expect("open table meta");
            let format = self.format.to_be_bytes();
            meta.insert("format", format.as_slice())
                .expect("write succeeds");
            meta.insert("set", self.set).expect("write succeeds");
            meta.insert("remembers", [1].as_slice())
                .expect("write succeeds");
            let mut configurations = transaction
                .open_table(CONFIGURATIONS)
                .expect("open table configurations");
            for (version, text) in self.configurations {
                configurations
                    .insert(version, *text)
                    .expect("write succeeds");
            }
            let mut claims = transaction.open_table(CLAIMS).expect("open table claims");
            for position in [3, 4, 9] {
                let key = u128::from(position) << 100;
                let row = (key, 7, 8, position, 1_000 + position);
                claims.insert(position, row).expect("write succeeds");
            }
            let mut hosts = transaction.open_table(HOSTS).expect("open table hosts");
            hosts.insert("i-1", HOST).expect("write succeeds");
        }
        transaction.commit().expect("write succeeds");
    }

    pub fn make(&self, file: &Path) {
        self.write(&Database::create(file).expect("create a state file"));
    }
}

/// The vote that the upgrade creates for a format 1 text with this digest.
pub fn upgraded_vote(text: &[u8], digest: u64) -> AcceptorRecord {
    let ballot = Ballot {
        round: 0,
        node: NodeId(0),
        incarnation: Incarnation(digest),
    };
    AcceptorRecord {
        promised: ballot,
        accepted: Some(Proposal {
            ballot,
            value: text.into(),
        }),
        is_vote: true,
    }
}

/// The state expected after upgrading [`VALID`].
pub fn expected_state() -> DurableState {
    let claim = |number: u64| StoredClaim {
        key: KeyDigest(u128::from(number) << 100),
        alias: None,
        id: ClaimId {
            node: NodeId(7),
            incarnation: Incarnation(8),
            number,
        },
        claimed_at: WallTime(1_000 + number),
    };
    let host = HostRecord {
        id: "i-1".into(),
        service: "s".into(),
        zone: "z".into(),
        address: "a:80".into(),
        slots: 4,
        state: HostState::Ready,
        sequence: CallSequence(300),
        warm_up: Millis(2),
        age: Millis(1),
    };
    DurableState {
        voting_set: voting_set(300, &[1, 2, 0x0a00_0001]),
        has_complete_state: true,
        generation: Generation::NONE,
        records: vec![SlotRecord {
            slot: version(5),
            record: upgraded_vote(NEWEST, NEWEST_DIGEST),
        }],
        claims: [3, 4, 9].map(claim).to_vec(),
        hosts: vec![host],
    }
}

/// Format number of a file, and whether the configurations table of format 1 exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileFormat {
    pub number: u64,
    /// Whether the table `configurations` exists, which only format 1 has.
    pub has_configurations: bool,
}

pub const PREVIOUS: FileFormat = FileFormat {
    number: 1,
    has_configurations: true,
};

pub const CURRENT: FileFormat = FileFormat {
    number: 2,
    has_configurations: false,
};

pub fn format_of(database: &Database) -> FileFormat {
    let transaction = database.begin_read().expect("readable");
    let meta = transaction.open_table(META).expect("open table meta");
    let bytes = meta
        .get("format")
        .expect("readable")
        .expect("format is stored");
    let number = u64::from_be_bytes(bytes.value().try_into().expect("format has eight bytes"));
    let mut tables = transaction.list_tables().expect("readable");
    FileFormat {
        number,
        has_configurations: tables.any(|table| table.name() == "configurations"),
    }
}

pub fn file_format(file: &Path) -> FileFormat {
    format_of(&Database::open(file).expect("open the database"))
}
