//! Outbound sessions: connections that this node opens to other nodes.

use crate::connection;
use crate::session_context::SessionContext;
use crate::tls::Direction;
use rushcourse_messages::Handshake;
use rushcourse_types::NodeId;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// Timeout of a TCP connection attempt.
const DIAL_TIMEOUT: Duration = Duration::from_millis(350);

/// Opens sessions with other nodes, at most one per node at a time.
pub struct Dialer {
    context: SessionContext,
    port: u16,
    dialing: Rc<RefCell<BTreeSet<NodeId>>>,
}

impl Dialer {
    /// Creates a dialer. `port` is the port for sessions between nodes, which is the same on all machines.
    pub fn new(context: SessionContext, port: u16) -> Dialer {
        Dialer {
            context,
            port,
            dialing: Rc::default(),
        }
    }

    /// The context shared with all sessions of this process.
    pub fn context(&self) -> &SessionContext {
        &self.context
    }

    /// The handshake that this node sends to its peers.
    pub fn local_handshake(&self) -> &Handshake {
        self.context.local_handshake()
    }

    /// Starts to open a session with `node`. Does nothing while a connection attempt or a session from an earlier call
    /// is still active.
    pub fn dial(&self, node: NodeId) {
        if !self.dialing.borrow_mut().insert(node) {
            return;
        }
        let address = SocketAddrV4::new(Ipv4Addr::from(node), self.port);
        let (context, dialing) = (self.context.clone(), self.dialing.clone());
        tokio::task::spawn_local(async move {
            run_outbound(address, &context).await;
            dialing.borrow_mut().remove(&node);
        });
    }
}

/// Connects to a node and runs the session until it ends.
async fn run_outbound(address: SocketAddrV4, context: &SessionContext) {
    let local = context.local_handshake().node;
    let Ok(Ok(stream)) = timeout(DIAL_TIMEOUT, connect(local, address)).await else {
        return;
    };
    if let Err(error) = connection::run(stream, context, Direction::Outbound).await {
        context.record_session_end(&address, &error);
    }
}

/// Connects with the local node's address as the source, since peers identify a node by the source address.
async fn connect(local: NodeId, address: SocketAddrV4) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddrV4::new(Ipv4Addr::from(local), 0).into())?;
    socket.connect(address.into()).await
}
