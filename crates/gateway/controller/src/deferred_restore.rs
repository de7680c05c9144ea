//! Deferred restore of state, for a state file that could only be opened after the controller started.
//!
//! Until then the controller is a non-voting member of the set that its peers know: it serves reads confirmed by a
//! majority and accepts host requests. When the file opens, consensus restarts from its contents, as after a process
//! restart; writes that were refused before are not replayed.

use crate::controller::Controller;
use crate::state_file::OpenedFile;
use rushcourse_cluster as cluster;
use rushcourse_consensus::{self as consensus, CallOutcome, ConsensusNode, ReplicaSetup};
use rushcourse_messages::Message;
use rushcourse_transport::startup::random_incarnation;

impl Controller {
    /// Starts the storage thread, restarts consensus from the stored state and restores the stored hosts.
    pub(crate) fn state_file_opened(&mut self, opened: OpenedFile) {
        let OpenedFile { store, mut stored } = opened;
        if let Err(report) = self.storage.start(store) {
            log::error!("event=state_file_unavailable why={:?}", report.to_string());
            return;
        }
        log::info!(
            "event=state_file_opened epoch={} generation={}",
            stored.voting_set.epoch,
            stored.generation
        );
        let hosts = std::mem::take(&mut stored.hosts);
        self.restart_consensus(stored);
        if !hosts.is_empty() {
            self.step_cluster(cluster::Input::HostsRestored(hosts));
        }
    }

    /// Replaces the consensus node with one that starts from the stored state. Its new incarnation ensures that ballots
    /// are not reused. It does not propose a first voting set, since the peers may have formed one already.
    fn restart_consensus(&mut self, stored: consensus::DurableState) {
        self.pending_requests.respond_all(&CallOutcome::Unknown);
        self.setup = ReplicaSetup {
            incarnation: random_incarnation(),
            is_first_start: false,
            ..self.setup.clone()
        };
        let known_set = self.consensus.voting_set().clone();
        self.consensus = ConsensusNode::new(self.setup.clone(), stored);
        self.step_consensus(consensus::Input::Tick);
        for peer in self.sessions.controllers() {
            let zone = self.sessions.zone(peer).unwrap_or_default();
            self.step_consensus(consensus::Input::PeerConnected { peer, zone });
        }
        self.step_consensus(consensus::Input::MessageReceived {
            from: self.sessions.local_node(),
            message: Message::VotingSet(known_set),
        });
        self.update_contact();
    }
}
