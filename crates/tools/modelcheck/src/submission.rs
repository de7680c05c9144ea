//! Configurations that operators put in these worlds.

use rushcourse_types::{ConfigurationVersion, Ticket};
use std::fmt;
use std::sync::Arc;

/// Drafts from here on are of the versions from 0 on once more, with other texts.
pub(crate) const FIRST_CONFLICTING: u64 = 101;

/// A configuration that an operator puts. Two drafts may have one version and different texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Submission(pub u64);

impl Submission {
    /// The other draft of a version.
    pub const fn conflicting(version: u64) -> Submission {
        Submission(FIRST_CONFLICTING + version)
    }

    /// The number that its operator gave it.
    pub fn version(self) -> ConfigurationVersion {
        ConfigurationVersion(self.0 % FIRST_CONFLICTING)
    }

    /// Its text, which no other draft has.
    pub fn text(self) -> Arc<[u8]> {
        Arc::from(self.0.to_string().as_bytes())
    }

    /// Its operator's call.
    pub fn ticket(self) -> Ticket {
        Ticket(self.0)
    }

    /// Whether some draft of a version has this text.
    pub(crate) fn is_text_of(version: ConfigurationVersion, text: &[u8]) -> bool {
        let submissions = [Submission(version.0), Submission::conflicting(version.0)];
        submissions
            .iter()
            .any(|submission| *submission.text() == *text)
    }
}

impl fmt::Display for Submission {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
