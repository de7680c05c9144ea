//! Frames that the build a09c11f wrote, one of every message. This build reads them as the same messages and writes the
//! same bytes: directors of both builds understand each other while a release is under way.
//!
//! `fixtures/frames.txt` holds a line for each message: a label, and the frame in hexadecimal. Labels are the names that
//! the messages had in that build. The file is never written again: a message whose bytes change needs a new protocol
//! version, and a fixture of its own.

mod kinds;

use kinds::{KINDS, kind};
use rushcourse_messages::*;
use std::collections::BTreeSet;
use std::sync::Arc;

const FRAMES: &str = include_str!("fixtures/frames.txt");

fn host(state: HostState) -> HostNews {
    HostNews {
        id: "i-7f3a91c2".into(),
        service: "wuno96b".into(),
        zone: "recife".into(),
        address: "10.128.0.9:8080".into(),
        slots: 4,
        state,
        sequence: 300,
        cold_ms: 2_500,
        age_ms: 17,
    }
}

fn lines() -> Vec<Line> {
    vec![
        Line {
            host: host(HostState::Ready),
            weight: 0.75,
        },
        Line {
            host: host(HostState::Gone),
            weight: 0.0,
        },
    ]
}

/// One of every message, no two fields of one message alike, so that none can change places with another.
fn messages() -> Vec<(&'static str, Message)> {
    let claim = ClaimId {
        node: 0x0a01_0022,
        life: u64::MAX - 5,
        number: 3,
    };
    let other = ClaimId {
        node: 0x0a02_0023,
        life: 77,
        number: 400,
    };
    let ballot = Ballot {
        round: 300,
        node: 0x0a01_0024,
        life: u64::MAX - 6,
    };
    let lower = Ballot {
        round: 2,
        node: 0x0a03_0025,
        life: 9,
    };
    let value: Arc<[u8]> = Arc::from(&b"{\"version\":7}"[..]);
    let accepted = Accepted {
        ballot: lower,
        value: value.clone(),
    };
    let voted = AcceptorRecord {
        promised: ballot,
        accepted: Some(accepted.clone()),
        counts: true,
    };
    let promised = AcceptorRecord {
        promised: lower,
        accepted: None,
        counts: false,
    };
    let cursor = LessonCursor {
        life: u64::MAX - 7,
        place: 301,
    };
    let key = 0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10;
    let service: Arc<str> = "wuno96b".into();
    let hello = |role| Hello {
        form: 3,
        role,
        node: 0x0a01_0022,
        life: u64::MAX - 5,
        name: "frontend-recife-1".into(),
        zone: "recife".into(),
    };
    let end = LessonEnd {
        cursor,
        claims: 2,
        digest: u64::MAX - 8,
        records: vec![
            SlotRecord {
                slot: Slot::Set(12),
                record: promised,
            },
            SlotRecord {
                slot: Slot::Version(9),
                record: voted,
            },
        ],
    };
    let held = vec![
        HeldClaim {
            key,
            claim,
            age_ms: 60_000,
        },
        HeldClaim {
            key: key + 1,
            claim: other,
            age_ms: 128,
        },
    ];
    let kept = Kept {
        status: 201,
        headers: vec![
            ("content-type".into(), b"text/plain".to_vec()),
            ("response-seal".into(), b"3e1b".to_vec()),
        ],
        body: vec![0, 1, 0xff],
    };
    vec![
        (
            "Hello of a controller",
            Message::Hello(hello(Role::Controller)),
        ),
        ("Hello of a gateway", Message::Hello(hello(Role::Gateway))),
        ("Ping", Message::Ping),
        ("Cores", Message::Cores(vec![0x0a01_0024, 0x0a02_0024])),
        (
            "Sessions",
            Message::Sessions(vec![0x0a01_0022, 0x0a02_0022, 1]),
        ),
        (
            "Hosts",
            Message::Hosts(vec![host(HostState::Ready), host(HostState::Draining)]),
        ),
        (
            "Beats",
            Message::Beats(vec![("i-7f3a91c2".into(), 301), ("i-2".into(), 5)]),
        ),
        ("HostDigest", Message::HostDigest(vec![1, u64::MAX, 0])),
        ("HostRanges", Message::HostRanges(vec![3, 31])),
        (
            "Set",
            Message::Set(VotingSet {
                number: 300,
                members: vec![1, 2, 0x0a00_0001],
            }),
        ),
        (
            "Prepare of a set",
            Message::Prepare {
                set: 11,
                slot: Slot::Set(12),
                ballot,
                without: Some(0x0a03_0024),
            },
        ),
        (
            "Prepare of a version",
            Message::Prepare {
                set: 11,
                slot: Slot::Version(9),
                ballot,
                without: None,
            },
        ),
        (
            "Promise with a proposal",
            Message::Promise {
                set: 11,
                slot: Slot::Version(9),
                ballot,
                accepted: Some(accepted.clone()),
            },
        ),
        (
            "Promise",
            Message::Promise {
                set: 11,
                slot: Slot::Set(12),
                ballot,
                accepted: None,
            },
        ),
        (
            "Accept",
            Message::Accept {
                set: 11,
                slot: Slot::Version(9),
                proposal: accepted,
            },
        ),
        (
            "Refuse",
            Message::Refuse {
                set: 11,
                slot: Slot::Version(9),
                promised: ballot,
            },
        ),
        (
            "Held",
            Message::Held {
                stamp: 5_000,
                echo: 4_300,
                set: 11,
                votes: true,
                in_force: 8,
                casts: vec![
                    Cast {
                        slot: Slot::Version(9),
                        ballot,
                    },
                    Cast {
                        slot: Slot::Set(12),
                        ballot: lower,
                    },
                ],
            },
        ),
        ("AskHeld", Message::AskHeld { token: 70, set: 11 }),
        (
            "TellHeld",
            Message::TellHeld {
                token: 70,
                set: 11,
                votes: true,
                highest: 9,
            },
        ),
        (
            "AskLesson from the beginning",
            Message::AskLesson {
                set: 11,
                after: None,
            },
        ),
        (
            "AskLesson",
            Message::AskLesson {
                set: 11,
                after: Some(cursor),
            },
        ),
        (
            "Lesson",
            Message::Lesson(Lesson {
                set: 11,
                claims: held,
                end: None,
            }),
        ),
        (
            "Lesson that ends",
            Message::Lesson(Lesson {
                set: 11,
                claims: Vec::new(),
                end: Some(end),
            }),
        ),
        ("Learn", Message::Learn { set: 11 }),
        ("Learned", Message::Learned { set: 300 }),
        ("Leaving", Message::Leaving),
        (
            "Claim",
            Message::Claim {
                set: 11,
                key,
                claim,
            },
        ),
        ("Withdraw", Message::Withdraw { key, claim }),
        ("AskVersion", Message::AskVersion { above: 8 }),
        ("Home", Message::Home(true)),
        ("Home no longer", Message::Home(false)),
        (
            "Applied",
            Message::Applied {
                service: service.clone(),
                mark: 513,
            },
        ),
        (
            "Usage",
            Message::Usage {
                service: service.clone(),
                tries: 1_000,
                failed: 20,
                span_ms: 1_500,
            },
        ),
        (
            "Vote granted",
            Message::Vote {
                set: 11,
                key,
                claim,
                verdict: Verdict::Granted,
            },
        ),
        (
            "Vote of a key held",
            Message::Vote {
                set: 11,
                key,
                claim,
                verdict: Verdict::Held(other),
            },
        ),
        (
            "Vote that is none",
            Message::Vote {
                set: 11,
                key,
                claim,
                verdict: Verdict::Cannot,
            },
        ),
        ("NewVersion", Message::NewVersion { version: 9 }),
        (
            "InForce",
            Message::InForce {
                version: 9,
                text: value,
            },
        ),
        (
            "Standing",
            Message::Standing {
                primed: true,
                fronts: 8,
            },
        ),
        (
            "Table",
            Message::Table {
                service: service.clone(),
                mark: 513,
                lines: lines(),
            },
        ),
        (
            "Lines",
            Message::Lines {
                service,
                mark: 514,
                lines: lines(),
            },
        ),
        ("Out", Message::Out(vec![host(HostState::Gone)])),
        (
            "AskKey",
            Message::AskKey {
                token: 71,
                key,
                claim,
            },
        ),
        (
            "TellKey running",
            Message::TellKey {
                token: 71,
                progress: Progress::Running,
            },
        ),
        (
            "TellKey answered",
            Message::TellKey {
                token: 72,
                progress: Progress::Answered(kept),
            },
        ),
        (
            "TellKey unknown",
            Message::TellKey {
                token: 73,
                progress: Progress::Unknown,
            },
        ),
        (
            "TellKey nothing",
            Message::TellKey {
                token: 74,
                progress: Progress::Nothing,
            },
        ),
    ]
}

fn bytes_of(hexadecimal: &str) -> Vec<u8> {
    let digits = hexadecimal.as_bytes().chunks(2);
    let byte = |pair: &[u8]| {
        u8::from_str_radix(std::str::from_utf8(pair).expect("digits"), 16).expect("a byte")
    };
    digits.map(byte).collect()
}

#[test]
fn frames_of_the_earlier_build_are_read_and_written_the_same() {
    let recorded: Vec<(&str, Vec<u8>)> = FRAMES
        .lines()
        .map(|line| line.split_once(": ").expect("a label and a frame"))
        .map(|(label, frame)| (label, bytes_of(frame)))
        .collect();
    let messages = messages();
    let recorded_labels: Vec<&str> = recorded.iter().map(|(label, _)| *label).collect();
    let labels: Vec<&str> = messages.iter().map(|(label, _)| *label).collect();
    assert_eq!(
        recorded_labels, labels,
        "a frame for each message, in order"
    );
    for ((label, frame), (_, message)) in recorded.iter().zip(&messages) {
        assert_eq!(
            length(frame[..4].try_into().expect("four bytes")),
            Ok(frame.len() - 4),
            "{label}"
        );
        assert_eq!(decode(&frame[4..]), Ok(message.clone()), "{label}: read");
        let mut written = Vec::new();
        encode(message, &mut written).expect("small");
        assert_eq!(&written, frame, "{label}: written");
    }
}

#[test]
fn there_is_a_frame_of_every_kind_of_message() {
    let found: BTreeSet<&str> = messages().iter().map(|m| kind(&m.1)).collect();
    assert_eq!(found, KINDS.iter().copied().collect());
}
