//! Finds the response of an operation whose key is held by another claim: at the gateway that made the claim or, once that
//! has ended or can't be reached, at the controllers, which hold shards of it.

use crate::keyed_operations::QueryReply;
use crate::response_memory::ReservedMemory;
use crate::state::GatewayState;
use rushcourse_messages::{
    KeyHolder, OperationState, PartialResponse, ResponsePart, StoredResponse,
};
use rushcourse_routing::{OperationStatus, ShardSet};
use rushcourse_types::{NodeId, RequestToken};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;

/// Upper bound of the wait for a reply of another node.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// What is known of an operation that ran, or may have run, under another claim.
pub(crate) enum Lookup {
    /// The operation finished with this response.
    Completed(StoredResponse),
    /// It is running, or may have been executed and its response can't be had.
    Unavailable,
    /// Its claim was withdrawn: it was not executed.
    NotExecuted,
}

/// What the gateway that made a claim knows of the operation.
enum ClaimantState {
    Completed(StoredResponse),
    Running,
    /// The request may have been executed; there is no response.
    Unknown,
    /// Another gateway has no record: the claim was withdrawn, or the gateway has been restarted since.
    NotFound,
    /// The claim was made by this process and withdrawn.
    Withdrawn,
    /// The response is not held there any more, or the gateway can't be reached.
    Lost,
}

/// Finds the response of the operation under a claim that holds its key. Takes up to a timeout for the gateway and one for
/// the controllers, unless a long response arrives in many parts.
pub(crate) async fn look_up(
    gateway: &Rc<GatewayState>,
    local_node: NodeId,
    holder: KeyHolder,
) -> Lookup {
    let claimant = if holder.claim.node == local_node {
        local_state(gateway, holder)
    } else {
        remote_state(gateway, holder).await
    };
    let without_replica = match claimant {
        ClaimantState::Completed(response) => return Lookup::Completed(response),
        ClaimantState::Withdrawn => return Lookup::NotExecuted,
        ClaimantState::Running | ClaimantState::Unknown => return Lookup::Unavailable,
        ClaimantState::NotFound => Lookup::NotExecuted,
        ClaimantState::Lost => Lookup::Unavailable,
    };
    match find_shards(gateway, holder).await {
        Some(response) => Lookup::Completed(response),
        None => without_replica,
    }
}

/// The state of an operation under a claim of this gateway, or of an earlier incarnation of it. The withdrawal of a claim
/// without a record is resent.
fn local_state(gateway: &Rc<GatewayState>, holder: KeyHolder) -> ClaimantState {
    match gateway.status_of_claim(holder) {
        Some(OperationStatus::Completed(response)) => ClaimantState::Completed(response),
        Some(OperationStatus::Claiming | OperationStatus::Running) => ClaimantState::Running,
        Some(OperationStatus::Unknown) => ClaimantState::Unknown,
        None if gateway.is_own_claim(holder.claim) => ClaimantState::Withdrawn,
        // Without a record, an earlier incarnation of this gateway made the claim.
        Some(OperationStatus::Evicted) | None => ClaimantState::Lost,
    }
}

async fn remote_state(gateway: &Rc<GatewayState>, holder: KeyHolder) -> ClaimantState {
    let mut query = Query::send(gateway, &[holder.claim.node], holder, 0);
    let reply = query.next_reply().await;
    match reply.map(|reply| reply.state) {
        Some(OperationState::Completed(first)) => {
            let mut memory = ReservedMemory::new(gateway);
            let received = receive(gateway, holder, holder.claim.node, first, &mut memory).await;
            let response = received.and_then(|received| received.finish().ok());
            response.map_or(ClaimantState::Lost, ClaimantState::Completed)
        }
        Some(OperationState::Running) => ClaimantState::Running,
        Some(OperationState::Unknown) => ClaimantState::Unknown,
        Some(OperationState::NotFound) => ClaimantState::NotFound,
        Some(OperationState::Evicted) | None => ClaimantState::Lost,
    }
}

/// Asks all connected controllers for their shards of a response, and receives shards until these restore it.
async fn find_shards(gateway: &Rc<GatewayState>, holder: KeyHolder) -> Option<StoredResponse> {
    let controllers = gateway.connected_controllers();
    let mut memory = ReservedMemory::new(gateway);
    let mut shards = ShardSet::default();
    let mut query = Query::send(gateway, &controllers, holder, 0);
    for _ in &controllers {
        let reply = query.next_reply().await?;
        let OperationState::Completed(first) = reply.state else {
            continue;
        };
        let Some(shard) = receive(gateway, holder, reply.node, first, &mut memory).await else {
            continue;
        };
        let response = shard.into_bytes().ok().and_then(|bytes| shards.add(bytes));
        if response.is_some() {
            return response;
        }
    }
    None
}

/// Receives the rest of a response or of a shard from a node. `None` if the node does not have it or does not reply, or if
/// there is no memory for it.
async fn receive(
    gateway: &Rc<GatewayState>,
    holder: KeyHolder,
    node: NodeId,
    first: ResponsePart,
    memory: &mut ReservedMemory,
) -> Option<PartialResponse> {
    if !memory.extend(first.total_bytes as usize) {
        return None;
    }
    let mut partial = PartialResponse::new(&first).ok()?;
    while !partial.is_complete() {
        let mut query = Query::send(gateway, &[node], holder, partial.next_offset());
        let OperationState::Completed(part) = query.next_reply().await?.state else {
            return None;
        };
        partial.append(&part).ok()?;
    }
    Some(partial)
}

/// A query to nodes; ends when dropped.
struct Query {
    gateway: Rc<GatewayState>,
    token: RequestToken,
    replies: UnboundedReceiver<QueryReply>,
}

impl Query {
    fn send(gateway: &Rc<GatewayState>, nodes: &[NodeId], holder: KeyHolder, offset: u32) -> Query {
        let started = gateway.query_operation(nodes, holder, offset);
        Query {
            gateway: gateway.clone(),
            token: started.token,
            replies: started.replies,
        }
    }

    /// Waits for a reply, up to [`QUERY_TIMEOUT`].
    async fn next_reply(&mut self) -> Option<QueryReply> {
        timeout(QUERY_TIMEOUT, self.replies.recv()).await.ok()?
    }
}

impl Drop for Query {
    fn drop(&mut self) {
        self.gateway.end_operation_query(self.token);
    }
}
