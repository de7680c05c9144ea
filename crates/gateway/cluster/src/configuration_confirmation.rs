//! Confirmations of the committed configuration, on which the leases of gateways rest (`rushcourse-routing`,
//! `configuration_lease.rs`). A confirmation states that no version above the confirmed one had been acknowledged to an
//! operator when a majority read of this controller began. The caller starts the reads and reports their results; while
//! no majority responds, there is no newer confirmation, and the last one grows old.
//!
//! **Why a read confirms this.** Let version `r` be acknowledged at time `a`, and let the read begin at `t >= a`. It has
//! to return at least `r`. The read (`rushcourse-consensus`, `operator_calls.rs`) takes responses, sent after `t`, of a
//! majority of voters of one epoch `n`, and ends only once the highest version that any of them has accepted is
//! committed here.
//! - `r` was committed in epoch `n` or an earlier one: by the invariant of `rushcourse-consensus`, `membership/mod.rs`,
//!   at least `majority - f` of the members with complete state hold `r`, where `f` members lack state. All responders
//!   that are counted have complete state (`is_voter`; one with a wiped or older disk doesn't until it has the snapshots
//!   or the records that it lacks), so a majority of them includes a holder.
//! - `r` was committed in a later epoch: then at time `a`, fewer than a majority of the members of epoch `n` had not
//!   adopted a later epoch. Either the majority that voted for `r` consists of members of epoch `n`, or it includes the
//!   new member, which votes only after `snapshot_quorum` members that have adopted its epoch sent it their state; both
//!   leave less than a majority of epoch `n`. A vote for `r` two or more epochs later implies the same of the vote
//!   that chose the set in between. An adopted epoch is on disk and never goes back, and responses of other epochs are
//!   ignored, so the read can't end in epoch `n`. It is restarted when this controller adopts the next set; the restart
//!   is later than `t`, so the statement about `t` still holds.
//!
//! As everywhere in consensus, this presumes that no more replicas lose their state at once than the settings tolerate.
//! The caller has to take the time of the start before it starts the read, by the steady clock of this process.

use rushcourse_types::{ConfigurationVersion, Ticket, Timestamp};
use std::time::Duration;

/// Upper limit of the interval between the starts of two reads.
const MAX_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Number of reads within the bound on revocation, so that the age of a confirmation takes little of a lease.
const READS_PER_BOUND: u32 = 10;
/// Time after which an unanswered read is given up, for one that was lost with a restart of consensus. Longer than the
/// time limit of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// A configuration version, and the age of the proof that none above it had been acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The confirmed version; [`ConfigurationVersion::NONE`] if none was committed.
    pub version: ConfigurationVersion,
    /// Time since the majority read began.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct PendingRead {
    ticket: Ticket,
    began_at: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct FinishedRead {
    version: ConfigurationVersion,
    began_at: Timestamp,
}

/// The newest confirmation of this controller, and the read that is to renew it.
#[derive(Clone, Debug)]
pub struct ConfigurationConfirmations {
    read_interval: Duration,
    pending: Option<PendingRead>,
    /// When the last read began, whatever its result.
    last_began_at: Option<Timestamp>,
    newest: Option<FinishedRead>,
}

impl ConfigurationConfirmations {
    /// Creates the state of a controller without a confirmation. `revocation` is `bounds.revocation_s`.
    pub fn new(revocation: Duration) -> ConfigurationConfirmations {
        ConfigurationConfirmations {
            read_interval: MAX_READ_INTERVAL.min(revocation / READS_PER_BOUND),
            pending: None,
            last_began_at: None,
            newest: None,
        }
    }

    /// Whether to start a read now. There is at most one at a time.
    pub fn is_read_due(&self, now: Timestamp) -> bool {
        let wait = match self.pending {
            Some(_) => READ_TIMEOUT,
            None => self.read_interval,
        };
        self.last_began_at
            .is_none_or(|began_at| now >= began_at + wait)
    }

    /// Records a read that starts now, before any of its messages is sent. A pending read is given up.
    pub fn read_started(&mut self, now: Timestamp, ticket: Ticket) {
        self.last_began_at = Some(now);
        self.pending = Some(PendingRead {
            ticket,
            began_at: now,
        });
    }

    /// Records the result of a read: the version that it returned, or `None` if no majority responded. Returns false,
    /// without effect, if the ticket is not that of the pending read.
    pub fn read_finished(&mut self, ticket: Ticket, version: Option<ConfigurationVersion>) -> bool {
        let Some(read) = self.pending.take_if(|read| read.ticket == ticket) else {
            return false;
        };
        if let Some(version) = version {
            self.newest = Some(FinishedRead {
                version,
                began_at: read.began_at,
            });
        }
        true
    }

    /// The newest confirmation, however old; `None` before the first one.
    pub fn newest(&self, now: Timestamp) -> Option<Confirmation> {
        let read = self.newest?;
        Some(Confirmation {
            version: read.version,
            age: now.since(read.began_at),
        })
    }
}
