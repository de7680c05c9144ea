//! Property tests of the message codec: decoding never panics, and a decoded message survives another round trip.

mod kinds;
mod strategies;

use kinds::{KINDS, kind};
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngSeed, TestRunner};
use rushcourse_messages::{Message, decode, encode, frame_length};
use std::collections::BTreeSet;
use strategies::{message, strategies};

#[test]
fn strategies_cover_every_message_kind() {
    let mut runner = TestRunner::deterministic();
    let mut kind_of = |strategy: &BoxedStrategy<Message>| {
        kind(&strategy.new_tree(&mut runner).expect("a message").current())
    };
    let found: Vec<&str> = strategies().iter().map(&mut kind_of).collect();
    assert_eq!(found.len(), KINDS.len());
    assert_eq!(BTreeSet::from_iter(found), KINDS.iter().copied().collect());
}

/// Asserts that if the bytes decode to a message, encoding and decoding it again yields the same message.
fn assert_stable_if_decodable(bytes: &[u8]) {
    let Ok(message) = decode(bytes) else { return };
    let mut encoded = Vec::new();
    encode(&message, &mut encoded).expect("a message below the size limit");
    let decoded = decode(&encoded[4..]).expect("a valid message");
    // Compares the debug output, since a weight may be NaN.
    assert_eq!(format!("{decoded:?}"), format!("{message:?}"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default()
    })]

    #[test]
    fn message_round_trips(message in message()) {
        let mut bytes = Vec::new();
        encode(&message, &mut bytes).expect("a message below the size limit");
        prop_assert_eq!(frame_length(bytes[..4].try_into().expect("four bytes")), Ok(bytes.len() - 4));
        prop_assert_eq!(decode(&bytes[4..]), Ok(message));
    }

    #[test]
    fn damaged_message_is_rejected_or_decodes_consistently(
        message in message(),
        at in any::<Index>(),
        byte in any::<u8>(),
        cut in any::<Index>(),
    ) {
        let mut bytes = Vec::new();
        encode(&message, &mut bytes).expect("a message below the size limit");
        let mut body = bytes.split_off(4);
        let (at, cut) = (at.index(body.len()), cut.index(body.len()));
        assert_stable_if_decodable(&body[..cut]);
        body[at] = byte;
        assert_stable_if_decodable(&body);
    }

    #[test]
    fn arbitrary_bytes_are_rejected_or_decode_consistently(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        assert_stable_if_decodable(&bytes);
    }
}
