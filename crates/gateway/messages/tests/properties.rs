//! Properties of the codec between nodes: whatever bytes come, nothing panics, and what is read as a message is that
//! message again once it is written.

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
fn each_kind_of_message_is_tried() {
    let mut runner = TestRunner::deterministic();
    let mut kind_of = |strategy: &BoxedStrategy<Message>| {
        kind(&strategy.new_tree(&mut runner).expect("a message").current())
    };
    let found: Vec<&str> = strategies().iter().map(&mut kind_of).collect();
    assert_eq!(found.len(), KINDS.len());
    assert_eq!(BTreeSet::from_iter(found), KINDS.iter().copied().collect());
}

/// The message in these bytes, if there is one, comes out again after it was written.
fn assert_reads_and_writes_the_same(bytes: &[u8]) {
    let Ok(message) = decode(bytes) else { return };
    let mut written = Vec::new();
    encode(&message, &mut written).expect("no longer than it came");
    let read = decode(&written[4..]).expect("a message");
    // By their text, as a weight may be no number.
    assert_eq!(format!("{read:?}"), format!("{message:?}"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default()
    })]

    #[test]
    fn a_message_comes_out_as_it_went_in(message in message()) {
        let mut bytes = Vec::new();
        encode(&message, &mut bytes).expect("small");
        prop_assert_eq!(frame_length(bytes[..4].try_into().expect("four")), Ok(bytes.len() - 4));
        prop_assert_eq!(decode(&bytes[4..]), Ok(message));
    }

    #[test]
    fn a_message_with_damaged_bytes_is_refused_or_is_another_message(
        message in message(),
        at in any::<Index>(),
        byte in any::<u8>(),
        cut in any::<Index>(),
    ) {
        let mut bytes = Vec::new();
        encode(&message, &mut bytes).expect("small");
        let mut body = bytes.split_off(4);
        let (at, cut) = (at.index(body.len()), cut.index(body.len()));
        assert_reads_and_writes_the_same(&body[..cut]);
        body[at] = byte;
        assert_reads_and_writes_the_same(&body);
    }

    #[test]
    fn any_bytes_are_refused_or_are_a_message(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        assert_reads_and_writes_the_same(&bytes);
    }
}
