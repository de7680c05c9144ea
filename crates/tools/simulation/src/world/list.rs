//! Discovery's list of hosts.

use crate::script::{Phase, Script};
use rushcourse_policy::interface::Ms;

/// A host in the list.
#[derive(Clone, Copy)]
pub(super) struct ListedHost {
    pub(super) phase: Phase,
    /// Time of day; 0: long ago.
    pub(super) started_at: Ms,
}

/// The list.
pub(super) struct HostList {
    pub(super) revision: u64,
    /// By index of the script; none before a host was listed.
    pub(super) hosts: Vec<Option<ListedHost>>,
}

impl HostList {
    /// The list at the beginning of a script: its first hosts, all warm.
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
