//! Where the state file is, and what it held at the start.

use error_stack::{Report, ResultExt};
use rushcourse_consensus::DurableState;
use rushcourse_messages::{Slot, SlotRecord};
use rushcourse_transport::StartError;
use rushcourse_types::ConfigurationVersion;
use std::path::{Path, PathBuf};

/// Name of the state file, and the name that versions before 0.2 gave it.
const STATE_FILE: &str = "controller.redb";
const EARLIER_STATE_FILE: &str = "exchange.redb";

/// The state file's place. A file under its earlier name is renamed.
pub fn state_file(folder: &Path) -> Result<PathBuf, Report<StartError>> {
    let (file, earlier) = (folder.join(STATE_FILE), folder.join(EARLIER_STATE_FILE));
    if earlier.exists() && !file.exists() {
        std::fs::rename(&earlier, &file).change_context(StartError::Disk)?;
        let synced = std::fs::File::open(folder).and_then(|f| f.sync_all());
        synced.change_context(StartError::Disk)?;
    }
    Ok(file)
}

/// The newest version that a disk holds; 0: none.
pub fn newest_version(stored: &DurableState) -> u64 {
    let version = |record: &SlotRecord| match &record.slot {
        Slot::Configuration(version) => Some(*version),
        Slot::VotingSet(_) => None,
    };
    stored
        .records
        .iter()
        .filter_map(version)
        .max()
        .unwrap_or(ConfigurationVersion(0))
        .0
}
