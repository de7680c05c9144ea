//! Frames of every message, as earlier builds wrote them. This build reads them as the same messages and writes the same
//! bytes: nodes of builds with one protocol version understand each other while a release is under way.
//!
//! `fixtures/frames.txt` holds a line for each sample as the build a09c11f wrote it: its label, and the frame in
//! hexadecimal. It is never written again: a message whose bytes change needs a new protocol version, and a file of its
//! own, which goes before. `fixtures/frames-version-4.txt`: reports of replicas name the generations of disks.

mod kinds;
mod samples;

use kinds::{KINDS, kind};
use rushcourse_messages::{PROTOCOL_VERSION, decode, encode, frame_length};
use samples::samples;
use std::collections::{BTreeMap, BTreeSet};

const FRAMES: &str = include_str!("fixtures/frames.txt");
const FRAMES_OF_VERSION_4: &str = include_str!("fixtures/frames-version-4.txt");

fn bytes_of(hexadecimal: &str) -> Vec<u8> {
    let byte = |pair: &[u8]| {
        let digits = std::str::from_utf8(pair).expect("digits");
        u8::from_str_radix(digits, 16).expect("a byte")
    };
    hexadecimal.as_bytes().chunks(2).map(byte).collect()
}

/// A line of a file of frames: its label, and the frame.
fn recorded(line: &str) -> (&str, Vec<u8>) {
    let (label, frame) = line.split_once(": ").expect("a label and a frame");
    (label, bytes_of(frame))
}

#[test]
fn frames_of_earlier_builds_are_read_and_written_the_same() {
    let changed: BTreeMap<&str, Vec<u8>> = FRAMES_OF_VERSION_4.lines().map(recorded).collect();
    let recorded: Vec<(&str, Vec<u8>)> = FRAMES
        .lines()
        .map(recorded)
        .map(|(label, frame)| (label, changed.get(label).cloned().unwrap_or(frame)))
        .collect();
    let samples = samples();
    let recorded_labels: Vec<&str> = recorded.iter().map(|(label, _)| *label).collect();
    let labels: Vec<&str> = samples.iter().map(|(label, _)| *label).collect();
    assert_eq!(
        recorded_labels, labels,
        "a frame for each message, in order"
    );
    for ((label, frame), (_, message)) in recorded.iter().zip(&samples) {
        let header = frame[..4].try_into().expect("four bytes");
        assert_eq!(frame_length(header), Ok(frame.len() - 4), "{label}");
        assert_eq!(decode(&frame[4..]), Ok(message.clone()), "{label}: read");
        let mut written = Vec::new();
        encode(message, &mut written).expect("small");
        assert_eq!(&written, frame, "{label}: written");
    }
}

/// A peer of the version before would misread what has changed: it is refused at the handshake.
#[test]
fn what_changed_its_bytes_has_a_protocol_version_of_its_own() {
    let before: BTreeMap<&str, Vec<u8>> = FRAMES.lines().map(recorded).collect();
    for (label, frame) in FRAMES_OF_VERSION_4.lines().map(recorded) {
        assert_ne!(before.get(label), Some(&frame), "{label}");
    }
    assert_eq!(PROTOCOL_VERSION, 4);
}

#[test]
fn there_is_a_frame_of_every_kind_of_message() {
    let found: BTreeSet<&str> = samples().iter().map(|(_, message)| kind(message)).collect();
    assert_eq!(found, KINDS.iter().copied().collect());
}
