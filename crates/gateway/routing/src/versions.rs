//! Which controller a gateway asks for the text of a new configuration. The controller that it takes its tables from brings
//! the text unasked; the others only name the version, so that a text crosses to each gateway once. Where the text does
//! not come by itself, one of those that named the version is asked, then the next.

use rushcourse_messages::NodeId;
use rushcourse_types::ConfigurationVersion;

/// ms for which a gateway that has a configuration waits for a newer one to come by itself; far under
/// `configuration_apply_s` (seconds).
const ASK_AFTER: u64 = 100;
/// ms after which the next controller is asked.
const ASK_AGAIN: u64 = 300;
/// Controllers that are remembered as having a version: one is enough, the others are for its loss.
const HOLDERS_MOST: usize = 8;

#[derive(Clone, Debug)]
struct Wanted {
    version: ConfigurationVersion,
    /// Controllers that named it, the one to be asked next in front.
    holders: Vec<NodeId>,
    since: u64,
    asked_at: Option<u64>,
}

/// A version that was named and is not here yet.
#[derive(Clone, Debug, Default)]
pub struct VersionFetch {
    wanted: Option<Wanted>,
}

impl VersionFetch {
    /// A controller names the version in force. `mine`: the one that is here; 0: none.
    pub fn named(
        &mut self,
        now: u64,
        holder: NodeId,
        version: ConfigurationVersion,
        mine: ConfigurationVersion,
    ) {
        if version <= mine {
            return;
        }
        let known = self.wanted.take().filter(|w| w.version >= version);
        let mut wanted = known.unwrap_or(Wanted {
            version,
            holders: Vec::new(),
            since: now,
            asked_at: None,
        });
        let new = !wanted.holders.contains(&holder) && wanted.holders.len() < HOLDERS_MOST;
        if wanted.version == version && new {
            wanted.holders.push(holder);
        }
        self.wanted = Some(wanted);
    }

    /// The controller to be asked for the text now, if it is due; `reached`: those in session.
    pub fn ask(
        &mut self,
        now: u64,
        mine: ConfigurationVersion,
        reached: impl Fn(NodeId) -> bool,
    ) -> Option<NodeId> {
        let wanted = self.wanted.take().filter(|w| w.version > mine)?;
        let wanted = self.wanted.insert(wanted);
        let wait = if mine == ConfigurationVersion(0) {
            0
        } else {
            ASK_AFTER
        };
        let due = match wanted.asked_at {
            Some(asked_at) => now >= asked_at + ASK_AGAIN,
            None => now >= wanted.since + wait,
        };
        let place = wanted
            .holders
            .iter()
            .position(|holder| reached(*holder))
            .filter(|_| due)?;
        let holder = wanted.holders.remove(place);
        wanted.holders.push(holder);
        wanted.asked_at = Some(now);
        Some(holder)
    }
}
