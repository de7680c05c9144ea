//! Operators' calls that wait for a majority: new configurations, and reads of the committed one.

use crate::context::Context;
use crate::effect::{CallOutcome, Effect};
use crate::paxos::Paxos;
use crate::paxos::acceptor::Acceptor;
use crate::paxos::proposer::ProposalRequest;
use rushcourse_messages::{Message, Slot, VotingSet};
use rushcourse_types::{ConfigurationVersion, NodeId, RequestToken, Ticket, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Time limit of a call. Shorter than the second after which an operator's client tries another controller
/// (PROTOCOL.md).
const CALL_TIMEOUT: Duration = Duration::from_millis(850);

/// A submitted configuration that is not committed yet.
#[derive(Clone, Debug)]
struct PutCall {
    version: ConfigurationVersion,
    text: Arc<[u8]>,
    expires_at: Timestamp,
}

/// A read that waits for the versions accepted by a majority of voters.
#[derive(Clone, Debug)]
struct GetCall {
    token: RequestToken,
    expires_at: Timestamp,
    /// Voters that have responded, including this replica if it votes.
    responders: BTreeSet<NodeId>,
    /// Highest version that any response reported as accepted; the read waits until it is committed.
    highest_accepted: ConfigurationVersion,
}

impl PutCall {
    /// Returns the result of the call; `None` while it is pending.
    fn outcome(
        &self,
        now: Timestamp,
        committed: ConfigurationVersion,
        committed_text: Option<&Arc<[u8]>>,
    ) -> Option<CallOutcome> {
        if self.version <= committed {
            let is_other_text = self.version == committed && committed_text != Some(&self.text);
            return Some(CallOutcome::Acknowledged { is_other_text });
        }
        (now >= self.expires_at).then_some(CallOutcome::Unknown)
    }
}

impl GetCall {
    fn has_majority(&self, voting_set: &VotingSet) -> bool {
        let members = voting_set.members.iter();
        let responders = members.filter(|member| self.responders.contains(member));
        !voting_set.epoch.is_none() && responders.count() >= voting_set.majority()
    }
}

/// Pending calls of operators, by the tickets under which they are answered.
#[derive(Clone, Debug, Default)]
pub(super) struct OperatorCalls {
    puts: BTreeMap<Ticket, PutCall>,
    gets: BTreeMap<Ticket, GetCall>,
    last_token: RequestToken,
}

impl OperatorCalls {
    /// Proposes a new configuration. The call is answered as unknown at once if a voting set exists and its majority is
    /// unreachable.
    pub(super) fn put(
        &mut self,
        context: &mut Context,
        paxos: &mut Paxos,
        ticket: Ticket,
        version: ConfigurationVersion,
        text: Arc<[u8]>,
        committed: ConfigurationVersion,
    ) {
        let membership = &paxos.membership;
        let has_set = !membership.voting_set().epoch.is_none();
        if version > committed && has_set && !membership.has_quorum_contact() {
            return answer(context, ticket, CallOutcome::Unknown);
        }
        let call = PutCall {
            version,
            text,
            expires_at: context.now + CALL_TIMEOUT,
        };
        propose(context, paxos, &call, committed);
        self.puts.insert(ticket, call);
    }

    /// Starts a read by asking all reachable members for the versions that they have accepted. The call is answered as
    /// unknown at once if no majority is reachable.
    pub(super) fn get(
        &mut self,
        context: &mut Context,
        paxos: &Paxos,
        ticket: Ticket,
        committed: ConfigurationVersion,
    ) {
        let membership = &paxos.membership;
        if !membership.has_quorum_contact() {
            return answer(context, ticket, CallOutcome::Unknown);
        }
        self.last_token = self.last_token.next();
        let own_response = membership.is_voter().then_some(context.node);
        let call = GetCall {
            token: self.last_token,
            expires_at: context.now + CALL_TIMEOUT,
            responders: own_response.into_iter().collect(),
            highest_accepted: paxos.acceptor.highest_version(committed),
        };
        self.gets.insert(ticket, call);
        for member in membership.reachable_members() {
            if member != context.node {
                let request = Message::ReadRequest {
                    token: self.last_token,
                    epoch: membership.voting_set().epoch,
                };
                context.send(member, request);
            }
        }
    }

    /// Records a response to a read; it counts towards the majority if the sender votes.
    pub(super) fn read_response(
        &mut self,
        from: NodeId,
        token: RequestToken,
        is_voter: bool,
        highest_accepted: ConfigurationVersion,
    ) {
        let Some(call) = self.gets.values_mut().find(|call| call.token == token) else {
            return;
        };
        call.highest_accepted = call.highest_accepted.max(highest_accepted);
        if is_voter {
            call.responders.insert(from);
        }
    }

    /// Restarts pending calls after a change of the voting set, because responses from the previous set don't count in
    /// the new one.
    pub(super) fn voting_set_changed(
        &mut self,
        context: &mut Context,
        paxos: &mut Paxos,
        committed: ConfigurationVersion,
    ) {
        for call in self.puts.values() {
            propose(context, paxos, call, committed);
        }
        for ticket in std::mem::take(&mut self.gets).into_keys() {
            self.get(context, paxos, ticket, committed);
        }
    }

    /// Answers calls whose result is known and calls that have timed out.
    pub(super) fn answer_finished(
        &mut self,
        context: &mut Context,
        paxos: &Paxos,
        committed: ConfigurationVersion,
    ) {
        self.answer_puts(context, &paxos.acceptor, committed);
        self.answer_gets(context, paxos, committed);
    }

    fn answer_puts(
        &mut self,
        context: &mut Context,
        acceptor: &Acceptor,
        committed: ConfigurationVersion,
    ) {
        let text = acceptor.configuration_text(committed);
        let outcome = |(ticket, call): (&Ticket, &PutCall)| {
            Some((*ticket, call.outcome(context.now, committed, text)?))
        };
        let finished: Vec<(Ticket, CallOutcome)> = self.puts.iter().filter_map(outcome).collect();
        for (ticket, outcome) in finished {
            self.puts.remove(&ticket);
            answer(context, ticket, outcome);
        }
    }

    fn answer_gets(
        &mut self,
        context: &mut Context,
        paxos: &Paxos,
        committed: ConfigurationVersion,
    ) {
        let voting_set = paxos.membership.voting_set();
        let outcome = |call: &GetCall| {
            if call.has_majority(voting_set) && committed >= call.highest_accepted {
                return Some(read_outcome(&paxos.acceptor, committed));
            }
            (context.now >= call.expires_at).then_some(CallOutcome::Unknown)
        };
        let finished = self.gets.iter();
        let finished: Vec<(Ticket, CallOutcome)> = finished
            .filter_map(|(ticket, call)| Some((*ticket, outcome(call)?)))
            .collect();
        for (ticket, outcome) in finished {
            self.gets.remove(&ticket);
            answer(context, ticket, outcome);
        }
    }
}

/// Proposes a call's configuration. Before the first voting set it does nothing; the call is proposed once a set is
/// adopted.
fn propose(
    context: &mut Context,
    paxos: &mut Paxos,
    call: &PutCall,
    committed: ConfigurationVersion,
) {
    if call.version <= committed || paxos.membership.voting_set().epoch.is_none() {
        return;
    }
    let request = ProposalRequest {
        slot: Slot::Configuration(call.version),
        value: call.text.clone(),
        removed: None,
        expires_at: call.expires_at,
    };
    paxos.propose(context, request);
}

fn read_outcome(acceptor: &Acceptor, committed: ConfigurationVersion) -> CallOutcome {
    match acceptor.committed_configuration(committed) {
        Some(configuration) => CallOutcome::Configuration(configuration),
        None => CallOutcome::NoConfiguration,
    }
}

fn answer(context: &mut Context, ticket: Ticket, outcome: CallOutcome) {
    context.push(Effect::AnswerCall { ticket, outcome });
}
