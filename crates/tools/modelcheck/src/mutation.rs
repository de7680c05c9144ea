//! Defences that are taken out on purpose.

/// A defence taken out on purpose: exploring has to find the rule that it keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A disk that was emptied votes as if it had lost nothing (TWICE).
    VoteAfterWipe,
    /// A disk that is an older copy votes like the newest one (TWICE).
    OldDiskVotes,
    /// An operator is answered once half of the disks hold a version (LOST).
    AcknowledgeAtHalf,
    /// A batch is reported as synced before it is (TWICE, LOST).
    AnswerBeforeSync,
    /// Votes on a claim count however late they are processed (TWICE).
    VotesNeverExpire,
    /// Disks that hold another text under the same version count for one's own (CONFIG).
    RivalTextsCount,
    /// Votes of different voting sets add up (TWICE).
    EpochUnchecked,
    /// A new member joins without snapshots, and votes at once (TWICE).
    LearnerCounts,
    /// The vote of one whose place was taken counts for its successor's (TWICE).
    RemovedCounts,
    /// What others reported of their votes counts without end (CONFIG).
    ReportsNeverExpire,
    /// A proposer asks for votes without promises (CONFIG).
    PromisesSkipped,
    /// A controller answers a read with what it has, without asking a majority (CONFIG).
    ReadsLocally,
    /// A gateway that restarted withdraws a claim of its life before, as if it had sent nothing under it (TWICE).
    WithdrawsEarlierClaim,
}

impl Mutation {
    /// Whether a member that starts with a disk takes it for the newest one that it had, whatever the others know.
    pub(crate) fn skips_recovery(self) -> bool {
        matches!(
            self,
            Mutation::VoteAfterWipe | Mutation::OldDiskVotes | Mutation::LearnerCounts
        )
    }

    /// As it is printed.
    pub fn name(self) -> &'static str {
        match self {
            Mutation::VoteAfterWipe => "vote-after-wipe",
            Mutation::OldDiskVotes => "old-disk-votes",
            Mutation::AcknowledgeAtHalf => "acknowledge-at-half",
            Mutation::AnswerBeforeSync => "answer-before-sync",
            Mutation::VotesNeverExpire => "votes-never-expire",
            Mutation::RivalTextsCount => "rival-texts-count",
            Mutation::EpochUnchecked => "epoch-unchecked",
            Mutation::LearnerCounts => "learner-counts",
            Mutation::RemovedCounts => "removed-counts",
            Mutation::ReportsNeverExpire => "reports-never-expire",
            Mutation::PromisesSkipped => "promises-skipped",
            Mutation::ReadsLocally => "reads-locally",
            Mutation::WithdrawsEarlierClaim => "withdraws-earlier-claim",
        }
    }
}
