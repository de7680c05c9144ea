//! Sessions that this node opens.

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

/// A connection that can't be made in this time is given up.
const DIAL_TIMEOUT: Duration = Duration::from_millis(350);

/// Dials nodes, each once at a time.
pub struct Dialer {
    context: SessionContext,
    port: u16,
    dialing: Rc<RefCell<BTreeSet<NodeId>>>,
}

impl Dialer {
    /// `port`: where nodes listen for each other, the same on all machines.
    pub fn new(context: SessionContext, port: u16) -> Dialer {
        Dialer {
            context,
            port,
            dialing: Rc::default(),
        }
    }

    /// What the sessions start from.
    pub fn context(&self) -> &SessionContext {
        &self.context
    }

    /// The handshake that this node opens its sessions with.
    pub fn local_handshake(&self) -> &Handshake {
        self.context.local_handshake()
    }

    /// Opens a session with a node, unless that is under way or one is open by an earlier dial.
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

/// Opens one session and runs it to its end.
async fn run_outbound(address: SocketAddrV4, context: &SessionContext) {
    let local = context.local_handshake().node;
    let Ok(Ok(stream)) = timeout(DIAL_TIMEOUT, connect(local, address)).await else {
        return;
    };
    if let Err(error) = connection::run(stream, context, Direction::Outbound).await {
        context.record_end(&address, &error);
    }
}

/// Connects from this machine's own address: that is what the peer knows it by, also where machines have several.
async fn connect(local: NodeId, address: SocketAddrV4) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddrV4::new(Ipv4Addr::from(local), 0).into())?;
    socket.connect(address.into()).await
}
