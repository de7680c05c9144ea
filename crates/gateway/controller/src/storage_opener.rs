//! Opens a state file that the disk refused to open at the start: tried again until it can be.

use crate::control_request::{ControlEvent, EventSender};
use crate::state_file::OpenedFile;
use rushcourse_storage::{StorageError, Store};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use std::{io, thread};

/// Between two tries (ours).
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Between two log lines about tries that fail (ours).
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Starts a thread that opens the file as soon as the disk lets it, and tells the event loop.
///
/// # Errors
/// The operating system gives no thread.
pub(crate) fn open_when_possible(file: PathBuf, events: EventSender) -> io::Result<()> {
    let open = move || {
        let opened = wait_until_open(&file);
        // The event loop is gone only where the process ends.
        let _ = events.send(ControlEvent::StateFileOpened(Box::new(opened)));
    };
    thread::Builder::new().name("opener".into()).spawn(open)?;
    Ok(())
}

fn wait_until_open(file: &Path) -> OpenedFile {
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

/// Whether the disk may let a file be opened later: it is full, or fails for now.
pub(crate) fn may_open_later(error: &StorageError) -> bool {
    matches!(
        error,
        StorageError::Unavailable | StorageError::WriteRefused
    )
}
