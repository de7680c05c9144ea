//! Round trips of frames, and rejection of damaged ones.

mod samples;

use rushcourse_messages::{VotingSet, decode, encode, frame_length};
use rushcourse_types::{Epoch, NodeId};
use samples::samples;

#[test]
fn frames_round_trip_and_damaged_frames_are_rejected() {
    for (label, message) in samples() {
        let mut bytes = vec![0xee];
        encode(&message, &mut bytes).expect("a message below the size limit");
        let frame = &bytes[1..];
        let header = frame[..4].try_into().expect("four bytes");
        assert_eq!(frame_length(header), Ok(frame.len() - 4));
        assert_eq!(decode(&frame[4..]), Ok(message.clone()));
        // Truncated messages and messages with trailing bytes.
        for end in 4..frame.len() {
            assert!(decode(&frame[4..end]).is_err(), "{label} cut to {end}");
        }
        assert!(decode(&[&frame[4..], &[0]].concat()).is_err());
    }
    assert!(frame_length([0xff; 4]).is_err());
}

/// The encoding of a voting set is stored on disk, so it must not change between builds.
#[test]
fn voting_set_value_encoding_is_stable() {
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
