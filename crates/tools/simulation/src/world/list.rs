//! Discovery's list of hosts.

use crate::script::{Phase, Script};
use rushcourse_policy::interface::Ms;

#[derive(Clone, Copy)]
pub(super) struct ListedHost {
    pub(super) phase: Phase,
    /// Start of the host, in ms since 1970; 0 if it has been running since before the script.
    pub(super) started_at: Ms,
}

pub(super) struct HostList {
    pub(super) revision: u64,
    /// Entries by index in the script; `None` until a host is listed for the first time.
    pub(super) hosts: Vec<Option<ListedHost>>,
}

impl HostList {
    /// The list at the beginning of a script, with warm hosts only.
    pub(super) fn at_start(script: &Script) -> HostList {
        let warm = ListedHost {
            phase: Phase::Ready,
            started_at: 0.0,
        };
        let listed = |host: usize| (host < script.listed_at_start).then_some(warm);
        HostList {
            revision: 1,
            hosts: (0..script.hosts.len()).map(listed).collect(),
        }
    }
}
