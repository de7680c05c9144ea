//! The messages. Times are milliseconds and always ages or spans, never clocks: clocks differ between machines.

use crate::ballots::{Accepted, Ballot, Cast, Lesson, LessonCursor, Slot};
use crate::identity::{ClaimId, Life, NodeId, VotingSet};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Changes when a message changes its form: directors of another form are refused at the greeting.
pub const FORM: u32 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    Controller,
    Gateway,
}

/// The first message of a session, both ways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    pub form: u32,
    pub role: Role,
    pub node: NodeId,
    pub life: Life,
    pub name: String,
    pub zone: String,
}

/// What a voter says to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Synced: nobody else gets this voter's vote inside the window.
    Granted,
    /// Another claim holds the key here.
    Held(ClaimId),
    /// No vote: of another set, not a voter, one that forgot, or its disk refuses.
    Cannot,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum HostState {
    Ready,
    Draining,
    Gone,
}

/// What a core director knows of one life of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostNews {
    pub id: Arc<str>,
    pub service: Arc<str>,
    pub zone: Arc<str>,
    pub address: Arc<str>,
    pub slots: u32,
    pub state: HostState,
    /// Rises with each call of the host.
    pub sequence: u64,
    /// ms for which it stays slow from its start.
    pub cold_ms: u64,
    /// ms since it was last heard.
    pub age_ms: u64,
}

/// A line of a table as it goes to a frontend director.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub host: HostNews,
    /// 0 removes it.
    pub weight: f32,
}

/// Answer of an operation that has run, for its repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    pub status: u16,
    /// Name and value, in order, without those of one connection only.
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
}

/// What a claimant knows of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    Running,
    Answered(Kept),
    /// Sent, and no answer came: whether it ran is not known.
    Unknown,
    /// Nothing of it here: never begun, or withdrawn, or of an earlier life.
    Nothing,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    Hello(Hello),
    /// Says that the sender lives. Core directors say how many frontend directors are members of theirs.
    Ping,

    // Between core directors, and to frontend ones where it says so.
    /// Core directors that the sender knows of (to frontend directors too).
    Cores(Vec<NodeId>),
    /// Frontend directors whose session with the sender stands.
    Sessions(Vec<NodeId>),
    Hosts(Vec<HostNews>),
    /// Hosts that only beat: id, sequence.
    Beats(Vec<(Arc<str>, u64)>),
    /// A digest of each range of the sender's host table.
    HostDigest(Vec<u64>),
    /// Asks for all hosts of these ranges.
    HostRanges(Vec<u16>),
    /// To frontend directors too.
    Set(VotingSet),
    /// Asks for the promise to accept nothing under a lower ballot. `without`: the member that a proposed set leaves out.
    Prepare {
        set: u64,
        slot: Slot,
        ballot: Ballot,
        without: Option<NodeId>,
    },
    Promise {
        set: u64,
        slot: Slot,
        ballot: Ballot,
        accepted: Option<Accepted>,
    },
    /// Asks for a vote; also brings a copy to a replica that is behind.
    Accept {
        set: u64,
        slot: Slot,
        proposal: Accepted,
    },
    /// A higher ballot was promised.
    Refuse {
        set: u64,
        slot: Slot,
        promised: Ballot,
    },
    /// What the sender's disk holds. `votes`: it is a voter of that set that remembers; otherwise nothing of it counts.
    /// `stamp`: the sender's steady clock, ms, which the receiver gives back; `echo`: the last stamp that the sender got from
    /// the receiver in this session, 0: none. So each side knows by its own clock how old at most this is.
    Held {
        stamp: u64,
        echo: u64,
        set: u64,
        votes: bool,
        in_force: u64,
        casts: Vec<Cast>,
    },
    AskHeld {
        token: u64,
        set: u64,
    },
    /// `highest`: the highest version that the sender has accepted.
    TellHeld {
        token: u64,
        set: u64,
        votes: bool,
        highest: u64,
    },
    /// A replica that doesn't remember asks a voter for what it holds, or for what came since.
    AskLesson {
        set: u64,
        after: Option<LessonCursor>,
    },
    Lesson(Lesson),
    /// Asks a spare to be taught, so that it can become a member.
    Learn {
        set: u64,
    },
    /// The sender has been taught what voters of this set hold.
    Learned {
        set: u64,
    },
    /// The sender is about to end: its place may be taken at once.
    Leaving,

    // A frontend director to a core director.
    Claim {
        set: u64,
        key: u128,
        claim: ClaimId,
    },
    /// Nothing was sent under this claim and nothing will be.
    Withdraw {
        key: u128,
        claim: ClaimId,
    },
    /// Asks for the text in force, if it is of a version above this one.
    AskVersion {
        above: u64,
    },
    /// The sender takes its tables from the receiver from now on, or no longer does.
    Home(bool),
    /// It holds what this mark of a service's tables, and all before it, asked for.
    Applied {
        service: Arc<str>,
        mark: u16,
    },
    /// What came to the sender for a service in `span_ms`.
    Usage {
        service: Arc<str>,
        tries: u32,
        failed: u32,
        span_ms: u32,
    },

    // A core director to a frontend one.
    Vote {
        set: u64,
        key: u128,
        claim: ClaimId,
        verdict: Verdict,
    },
    /// The version in force. Its text comes from the controller that the receiver takes its tables from, or is asked for.
    NewVersion {
        version: u64,
    },
    /// In force: a majority of disks holds it.
    InForce {
        version: u64,
        text: Arc<[u8]>,
    },
    /// Whether the sender can hold tables now, and how many frontend directors there are.
    Standing {
        primed: bool,
        fronts: u32,
    },
    /// The whole table that the receiver is bound to from now on.
    Table {
        service: Arc<str>,
        mark: u16,
        lines: Vec<Line>,
    },
    /// Changes of the table that the receiver is bound to.
    Lines {
        service: Arc<str>,
        mark: u16,
        lines: Vec<Line>,
    },
    /// Hosts that drain or are gone: out at once, whatever tables say.
    Out(Vec<HostNews>),

    // Between frontend directors.
    AskKey {
        token: u64,
        key: u128,
        claim: ClaimId,
    },
    TellKey {
        token: u64,
        progress: Progress,
    },
}
