//! Configurations that operators submit to a world.

use rushcourse_types::{ConfigurationVersion, Ticket};
use std::fmt;
use std::sync::Arc;

/// Offset between the numbers of the two submissions of a version.
pub(crate) const FIRST_CONFLICTING: u64 = 101;

/// A configuration that an operator submits, identified by a number. Each version has two submissions with different
/// texts: `Submission(version)` and [`Submission::conflicting`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Submission(pub u64);

impl Submission {
    /// Returns the second submission of a version, whose text differs from that of the first.
    pub const fn conflicting(version: u64) -> Submission {
        Submission(FIRST_CONFLICTING + version)
    }

    /// Version assigned by the operator.
    pub fn version(self) -> ConfigurationVersion {
        ConfigurationVersion(self.0 % FIRST_CONFLICTING)
    }

    /// Text of the configuration; unique for each submission.
    pub fn text(self) -> Arc<[u8]> {
        Arc::from(self.0.to_string().as_bytes())
    }

    /// Identifies the operator's call.
    pub fn ticket(self) -> Ticket {
        Ticket(self.0)
    }

    /// Whether this is the text of one of the two submissions of a version.
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
