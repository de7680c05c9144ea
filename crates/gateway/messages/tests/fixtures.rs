//! Wire compatibility with earlier builds: recorded frames of every message must decode to the same message and encode
//! to the same bytes, so that builds with the same protocol version can run side by side during a release.
//!
//! `fixtures/frames.txt` holds one line for each sample, recorded with build a09c11f: its label and the frame in
//! hexadecimal. The file must not change. A message whose encoding changes requires a new protocol version and a new
//! file, which overrides these frames or adds to them; `fixtures/frames-version-4.txt` and the files after it hold those
//! of versions 4 to 8. A label without a frame stands for a message that no longer exists.

mod kinds;
mod samples;

use kinds::{KINDS, kind};
use rushcourse_messages::{PROTOCOL_VERSION, decode, encode, frame_length};
use samples::samples;
use std::collections::{BTreeMap, BTreeSet};

const FRAMES: &str = include_str!("fixtures/frames.txt");
const FRAMES_VERSION_4: &str = include_str!("fixtures/frames-version-4.txt");
const FRAMES_VERSION_5: &str = include_str!("fixtures/frames-version-5.txt");
const FRAMES_VERSION_6: &str = include_str!("fixtures/frames-version-6.txt");
const FRAMES_VERSION_8: &str = include_str!("fixtures/frames-version-8.txt");
const FRAMES_VERSION_7: &str = include_str!("fixtures/frames-version-7.txt");
/// The files of later versions, in order.
const LATER_FRAMES: [&str; 5] = [
    FRAMES_VERSION_4,
    FRAMES_VERSION_5,
    FRAMES_VERSION_6,
    FRAMES_VERSION_7,
    FRAMES_VERSION_8,
];

fn parse_hex(digits: &str) -> Vec<u8> {
    let byte = |pair: &[u8]| {
        let digits = std::str::from_utf8(pair).expect("digits");
        u8::from_str_radix(digits, 16).expect("two hexadecimal digits")
    };
    digits.as_bytes().chunks(2).map(byte).collect()
}

/// Parses a line `LABEL: HEX` into the label and the frame.
fn parse_line(line: &str) -> (&str, Vec<u8>) {
    let (label, frame) = line.split_once(": ").expect("a label and a frame");
    (label, parse_hex(frame))
}

/// The frames of the present version, in the order of their first recording.
fn recorded_frames() -> Vec<(&'static str, Vec<u8>)> {
    let mut recorded: Vec<(&str, Vec<u8>)> = Vec::new();
    for file in std::iter::once(FRAMES).chain(LATER_FRAMES) {
        for (label, frame) in file.lines().map(parse_line) {
            match recorded.iter_mut().find(|(known, _)| *known == label) {
                Some((_, known)) => *known = frame,
                None => recorded.push((label, frame)),
            }
        }
    }
    recorded.retain(|(_, frame)| !frame.is_empty());
    recorded
}

#[test]
fn recorded_frames_decode_and_encode_identically() {
    let recorded = recorded_frames();
    let samples = samples();
    let recorded_labels: Vec<&str> = recorded.iter().map(|(label, _)| *label).collect();
    let labels: Vec<&str> = samples.iter().map(|(label, _)| *label).collect();
    assert_eq!(
        recorded_labels, labels,
        "one recorded frame for each sample, in order"
    );
    for ((label, frame), (_, message)) in recorded.iter().zip(&samples) {
        let header = frame[..4].try_into().expect("four bytes");
        assert_eq!(frame_length(header), Ok(frame.len() - 4), "{label}");
        assert_eq!(decode(&frame[4..]), Ok(message.clone()), "{label}: decoded");
        let mut encoded = Vec::new();
        encode(message, &mut encoded).expect("a message below the size limit");
        assert_eq!(&encoded, frame, "{label}: encoded");
    }
}

/// Peers of an earlier version would misread changed messages, so the handshake has to reject them.
#[test]
fn changed_encodings_have_a_new_protocol_version() {
    let mut previous: BTreeMap<&str, Vec<u8>> = FRAMES.lines().map(parse_line).collect();
    for file in LATER_FRAMES {
        for (label, frame) in file.lines().map(parse_line) {
            assert_ne!(previous.get(label), Some(&frame), "{label}");
            previous.insert(label, frame);
        }
    }
    assert_eq!(PROTOCOL_VERSION, 8);
}

#[test]
fn recorded_frames_cover_every_message_kind() {
    let found: BTreeSet<&str> = samples().iter().map(|(_, message)| kind(message)).collect();
    assert_eq!(found, KINDS.iter().copied().collect());
}
