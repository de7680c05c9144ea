//! The path of the state file, and the contents loaded from it when it is opened.

use error_stack::{Report, ResultExt};
use rushcourse_consensus::DurableState;
use rushcourse_messages::Slot;
use rushcourse_storage::Store;
use rushcourse_transport::StartError;
use rushcourse_types::ConfigurationVersion;
use std::fs::{self, File};
use std::path::{Path, PathBuf};

/// Name of the state file in the data directory.
const STATE_FILE: &str = "controller.redb";
/// Name of the state file in versions before 0.2.
const LEGACY_STATE_FILE: &str = "exchange.redb";

/// An open state file with the state loaded from it.
pub(crate) struct OpenedFile {
    pub(crate) store: Store,
    pub(crate) stored: DurableState,
}

/// Returns the path of the state file in the data directory. Renames a file that has the legacy name.
///
/// # Errors
/// Returns [`StartError::Disk`] if the rename fails or can't be synced.
pub(crate) fn state_file_path(directory: &Path) -> Result<PathBuf, Report<StartError>> {
    let (file, legacy) = (
        directory.join(STATE_FILE),
        directory.join(LEGACY_STATE_FILE),
    );
    if legacy.exists() && !file.exists() {
        fs::rename(&legacy, &file).change_context(StartError::Disk)?;
        // Makes the rename durable.
        let synced = File::open(directory).and_then(|directory| directory.sync_all());
        synced.change_context(StartError::Disk)?;
    }
    Ok(file)
}

/// The highest configuration version in the stored acceptor records, committed or not; `ConfigurationVersion::NONE` if
/// there is none.
pub(crate) fn newest_version(stored: &DurableState) -> ConfigurationVersion {
    let slots = stored.records.iter().map(|record| record.slot);
    let versions = slots.filter_map(|slot| match slot {
        Slot::Configuration(version) => Some(version),
        Slot::VotingSet(_) | Slot::UsageDuty(_) => None,
    });
    versions.max().unwrap_or(ConfigurationVersion::NONE)
}
