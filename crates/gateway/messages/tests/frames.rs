//! Frames: what goes in comes out, and nothing that is damaged does harm.

use rushcourse_messages::*;

#[test]
fn frames_carry_messages_and_refuse_what_is_none() {
    let claim = ClaimId {
        node: 7,
        life: u64::MAX,
        number: 3,
    };
    let kept = Kept {
        status: 200,
        headers: vec![("a".into(), b"b".to_vec())],
        body: vec![1, 2, 3],
    };
    let ballot = Ballot {
        round: 300,
        node: 7,
        life: u64::MAX,
    };
    let accepted = Accepted {
        ballot,
        value: std::sync::Arc::from(&b"{}"[..]),
    };
    let record = AcceptorRecord {
        promised: ballot,
        accepted: Some(accepted.clone()),
        counts: true,
    };
    let cursor = LessonCursor {
        life: u64::MAX,
        place: 300,
    };
    let records = vec![SlotRecord {
        slot: Slot::Version(9),
        record,
    }];
    let end = LessonEnd {
        cursor,
        claims: 1,
        digest: u64::MAX,
        records,
    };
    let all = [
        Message::Ping,
        Message::Vote {
            set: 1,
            key: u128::MAX,
            claim,
            verdict: Verdict::Held(claim),
        },
        Message::Accept {
            set: 1,
            slot: Slot::Version(9),
            proposal: accepted.clone(),
        },
        Message::Promise {
            set: 1,
            slot: Slot::Set(2),
            ballot,
            accepted: None,
        },
        Message::Held {
            stamp: 1,
            echo: 2,
            set: 1,
            votes: true,
            in_force: 8,
            casts: vec![Cast {
                slot: Slot::Version(9),
                ballot,
            }],
        },
        Message::AskLesson {
            set: 1,
            after: Some(cursor),
        },
        Message::Lesson(Lesson {
            set: 1,
            claims: vec![HeldClaim {
                key: 5,
                claim,
                age_ms: 6,
            }],
            end: Some(end),
        }),
        Message::Leaving,
        Message::TellKey {
            token: 4,
            progress: Progress::Answered(kept),
        },
    ];
    for message in all {
        let mut bytes = vec![0xee];
        encode(&message, &mut bytes).expect("small");
        let frame = &bytes[1..];
        let head = frame[..4].try_into().expect("four bytes");
        assert_eq!(length(head), Ok(frame.len() - 4));
        assert_eq!(decode(&frame[4..]), Ok(message.clone()));
        // Cut short, or with more behind: refused whole.
        for end in 4..frame.len() {
            assert!(decode(&frame[4..end]).is_err(), "{message:?} cut to {end}");
        }
        assert!(decode(&[&frame[4..], &[0]].concat()).is_err());
    }
    assert!(length([0xff; 4]).is_err());
}

/// A set is the value of a slot, and stands on disks: its bytes are these in every build.
#[test]
fn a_voting_set_is_these_bytes_as_a_value() {
    let set = VotingSet {
        number: 300,
        members: vec![1, 2, 0x0a00_0001],
    };
    let value = set.to_value();
    assert_eq!(*value, [0xac, 0x02, 3, 1, 2, 0x81, 0x80, 0x80, 0x50]);
    assert_eq!(VotingSet::from_value(&value), Some(set));
    for end in 0..value.len() {
        assert_eq!(VotingSet::from_value(&value[..end]), None, "cut to {end}");
    }
}
