//! Where the state file is, and what it held at the start.

use error_stack::{Report, ResultExt};
use rushcourse_consensus::DurableState;
use rushcourse_messages::Slot;
use rushcourse_storage::Store;
use rushcourse_transport::StartError;
use rushcourse_types::ConfigurationVersion;
use std::fs::{self, File};
use std::path::{Path, PathBuf};

/// Name of the state file, and the name that versions before 0.2 gave it.
const STATE_FILE: &str = "controller.redb";
const EARLIER_STATE_FILE: &str = "exchange.redb";

/// A state file that could be opened, and what it holds.
pub(crate) struct OpenedFile {
    pub(crate) store: Store,
    pub(crate) stored: DurableState,
}

/// The path of the state file in a folder. A file under its earlier name is renamed.
///
/// # Errors
/// [`StartError::Disk`] where it can't be renamed.
pub(crate) fn state_file(folder: &Path) -> Result<PathBuf, Report<StartError>> {
    let (file, earlier) = (folder.join(STATE_FILE), folder.join(EARLIER_STATE_FILE));
    if earlier.exists() && !file.exists() {
        fs::rename(&earlier, &file).change_context(StartError::Disk)?;
        // The rename has to reach the disk as well.
        let synced = File::open(folder).and_then(|folder| folder.sync_all());
        synced.change_context(StartError::Disk)?;
    }
    Ok(file)
}

/// The newest version of a configuration that a disk holds.
pub(crate) fn newest_version(stored: &DurableState) -> ConfigurationVersion {
    let slots = stored.records.iter().map(|record| record.slot);
    let versions = slots.filter_map(|slot| match slot {
        Slot::Configuration(version) => Some(version),
        Slot::VotingSet(_) => None,
    });
    versions.max().unwrap_or(ConfigurationVersion::NONE)
}
