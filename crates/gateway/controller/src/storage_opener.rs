//! Background retries for a state file that could not be opened at startup.

use crate::control_request::{ControlEvent, EventSender};
use crate::state_file::OpenedFile;
use rushcourse_storage::{StorageError, Store};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use std::{io, thread};

/// Delay between two attempts to open the file.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two log lines about failed attempts.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Spawns a thread that retries until the file is open and then sends `ControlEvent::StateFileOpened`.
///
/// # Errors
/// Returns an error if the thread can't be spawned.
pub(crate) fn open_in_background(file: PathBuf, events: EventSender) -> io::Result<()> {
    let open = move || {
        let opened = open_with_retries(&file);
        // The receiver is dropped only at process exit.
        let _ = events.send(ControlEvent::StateFileOpened(Box::new(opened)));
    };
    thread::Builder::new().name("opener".into()).spawn(open)?;
    Ok(())
}

fn open_with_retries(file: &Path) -> OpenedFile {
    let mut logged_at: Option<Instant> = None;
    loop {
        match Store::open(file) {
            Ok((store, stored)) => return OpenedFile { store, stored },
            Err(report) => {
                if logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
                    logged_at = Some(Instant::now());
                    log::error!("event=state_file_unavailable why={:?}", report.to_string());
                }
            }
        }
        thread::sleep(RETRY_INTERVAL);
    }
}

/// Whether opening the file may succeed later: the disk is full or temporarily failing.
pub(crate) fn is_retryable(error: &StorageError) -> bool {
    matches!(
        error,
        StorageError::Unavailable | StorageError::WriteRefused
    )
}
