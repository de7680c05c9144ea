//! The record of a case: one line for each event, with the seconds since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Opens `record.txt` in the folder of the case.
pub fn open(folder: &Path) {
    let file = File::create(folder.join("record.txt")).expect("the record can be written");
    let record = Record {
        started_at: Instant::now(),
        file: Mutex::new(file),
    };
    assert!(RECORD.set(record).is_ok(), "the record is opened once");
}

/// Seconds since the start of the case.
pub fn seconds() -> f64 {
    RECORD
        .get()
        .map_or(0.0, |record| record.started_at.elapsed().as_secs_f64())
}

/// Appends a line.
pub fn line(text: &str) {
    if let Some(record) = RECORD.get() {
        let mut file = record.file.lock().expect("no writer panics");
        let _ = writeln!(
            file,
            "{:9.3}  {text}",
            record.started_at.elapsed().as_secs_f64()
        );
    }
}

/// Appends a line and prints it.
pub fn say(text: &str) {
    line(text);
    println!("{:9.3}  {text}", seconds());
}
