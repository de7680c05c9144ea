//! The state of a controller whose disk let the state file be opened only after the start.
//!
//! Until then the controller counts in the voting set that others have, without a vote: it serves reads that a majority
//! confirms, and takes in what hosts say. With the file its consensus starts anew, as after a restart of the process: what
//! the file holds counts, and nothing that was refused before.

use crate::controller::Controller;
use crate::state_file::OpenedFile;
use rushcourse_cluster as cluster;
use rushcourse_consensus::{self as consensus, ConsensusNode, CallOutcome, ReplicaSetup};
use rushcourse_messages::Message;
use rushcourse_transport::startup::random_incarnation;

impl Controller {
    /// The state file is open.
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

    /// The consensus starts from what the file holds, under an incarnation of its own: ballots of the one before are not
    /// used again. It does not take part in a first set, which the others may have made by now.
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
