//! Frames that the build a09c11f wrote, one of every message. This build reads them as the same messages and writes the
//! same bytes: nodes of both builds understand each other while a release is under way.
//!
//! `fixtures/frames.txt` holds a line for each sample: its label, and the frame in hexadecimal. The file is never written
//! again: a message whose bytes change needs a new protocol version, and a fixture of its own.

mod kinds;
mod samples;

use kinds::{KINDS, kind};
use rushcourse_messages::{decode, encode, frame_length};
use samples::samples;
use std::collections::BTreeSet;

const FRAMES: &str = include_str!("fixtures/frames.txt");

fn bytes_of(hexadecimal: &str) -> Vec<u8> {
    let byte = |pair: &[u8]| {
        let digits = std::str::from_utf8(pair).expect("digits");
        u8::from_str_radix(digits, 16).expect("a byte")
    };
    hexadecimal.as_bytes().chunks(2).map(byte).collect()
}

#[test]
fn frames_of_the_earlier_build_are_read_and_written_the_same() {
    let recorded: Vec<(&str, Vec<u8>)> = FRAMES
        .lines()
        .map(|line| line.split_once(": ").expect("a label and a frame"))
        .map(|(label, frame)| (label, bytes_of(frame)))
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

#[test]
fn there_is_a_frame_of_every_kind_of_message() {
    let found: BTreeSet<&str> = samples().iter().map(|(_, message)| kind(message)).collect();
    assert_eq!(found, KINDS.iter().copied().collect());
}
