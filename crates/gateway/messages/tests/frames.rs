//! Frames: what goes in comes out, and nothing that is damaged does harm.

mod samples;

use rushcourse_messages::{VotingSet, decode, encode, frame_length};
use rushcourse_types::{Epoch, NodeId};
use samples::samples;

#[test]
fn frames_carry_messages_and_refuse_what_is_none() {
    for (label, message) in samples() {
        let mut bytes = vec![0xee];
        encode(&message, &mut bytes).expect("small");
        let frame = &bytes[1..];
        let header = frame[..4].try_into().expect("four bytes");
        assert_eq!(frame_length(header), Ok(frame.len() - 4));
        assert_eq!(decode(&frame[4..]), Ok(message.clone()));
        // Cut short, or with more behind: refused whole.
        for end in 4..frame.len() {
            assert!(decode(&frame[4..end]).is_err(), "{label} cut to {end}");
        }
        assert!(decode(&[&frame[4..], &[0]].concat()).is_err());
    }
    assert!(frame_length([0xff; 4]).is_err());
}

/// A set is the value of a slot, and stands on disks: its bytes are these in every build.
#[test]
fn a_voting_set_is_these_bytes_as_a_value() {
    let set = VotingSet {
        epoch: Epoch(300),
        members: vec![NodeId(1), NodeId(2), NodeId(0x0a00_0001)],
    };
    let value = set.to_value();
    assert_eq!(*value, [0xac, 0x02, 3, 1, 2, 0x81, 0x80, 0x80, 0x50]);
    assert_eq!(VotingSet::from_value(&value), Some(set));
    for end in 0..value.len() {
        assert_eq!(VotingSet::from_value(&value[..end]), None, "cut to {end}");
    }
}
