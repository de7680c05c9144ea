//! Mutations: safeguards that can be disabled to test the checker.

/// A disabled safeguard. Exploration has to find a violation of the rule named in parentheses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A controller with an emptied disk votes without recovery (TWICE).
    VoteAfterWipe,
    /// A controller with an older copy of its disk votes without recovery (TWICE).
    OldDiskVotes,
    /// A version is acknowledged once half of the disks hold it (LOST).
    AcknowledgeAtHalf,
    /// A batch is reported as synced before it is durable (TWICE, LOST).
    AnswerBeforeSync,
    /// A gateway counts grants that arrive after the claim timeout (TWICE).
    VotesNeverExpire,
    /// Votes for a different text under the same version are counted (CONFIG).
    RivalTextsCount,
    /// Grants from different voting sets are counted together (TWICE).
    EpochUnchecked,
    /// A new member votes without installing snapshots (TWICE).
    LearnerCounts,
    /// A grant from a removed member is counted as one from the member that replaced it (TWICE).
    RemovedCounts,
    /// Status reports of other replicas never expire (CONFIG).
    ReportsNeverExpire,
    /// A proposer skips the prepare phase (CONFIG).
    PromisesSkipped,
    /// A controller answers a read from local state, without contacting a majority (CONFIG).
    ReadsLocally,
    /// A restarted gateway withdraws a claim of its previous incarnation, under which a request may have been sent
    /// (TWICE).
    WithdrawsEarlierClaim,
}

impl Mutation {
    /// Whether a started member votes without verifying that its disk is the newest one that it had.
    pub(crate) fn skips_recovery(self) -> bool {
        matches!(
            self,
            Mutation::VoteAfterWipe | Mutation::OldDiskVotes | Mutation::LearnerCounts
        )
    }

    /// Name of the mutation in the program's output.
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
