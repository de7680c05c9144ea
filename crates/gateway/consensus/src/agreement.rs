//! The parts that have values chosen by ballots, as one: what is chosen for a slot, whatever the slot is for.

use crate::acceptor::Acceptor;
use crate::membership::Membership;
use crate::proposer::Proposer;
use crate::replicas::Replicas;

#[derive(Clone, Debug)]
pub(crate) struct Agreement {
    pub membership: Membership,
    pub acceptor: Acceptor,
    pub proposer: Proposer,
    pub replicas: Replicas,
}
