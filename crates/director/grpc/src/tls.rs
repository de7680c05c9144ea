//! TLS at the gRPC address, with certificates that change in service: new connections get the newest, those that are
//! open go on.

use crate::connections::{ConnectionInfo, LimitedConnection};
use rushcourse_tls::{TlsError, TlsFiles};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, PoisonError, RwLock};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::server::TlsStream;
use tonic::transport::server::Connected;

/// A TLS handshake takes no longer: a peer that sends nothing is let go.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// The protocol that is offered (ALPN).
const HTTP2: &[u8] = b"h2";

/// The certificate and key that new connections get; none: they are plain.
#[derive(Clone, Default)]
pub(crate) struct TlsSettings(Arc<RwLock<Option<TlsAcceptor>>>);

impl TlsSettings {
    /// New connections get these from now on. Files that can't be used change nothing.
    pub(crate) fn set(&self, files: Option<&TlsFiles>) -> Result<(), TlsError> {
        let config = files
            .map(|files| files.server_config(&[HTTP2]))
            .transpose()?;
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = config.map(TlsAcceptor::from);
        Ok(())
    }

    /// Makes a connection private, if connections are to be. Nothing where the handshake fails or takes too long.
    pub(crate) async fn handshake(&self, stream: LimitedConnection) -> Option<ServerStream> {
        let acceptor = self
            .0
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let Some(acceptor) = acceptor else {
            return Some(ServerStream::Plain(stream));
        };
        let handshake = timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await;
        let stream = handshake.ok()?.ok()?;
        Some(ServerStream::Tls(Box::new(stream)))
    }
}

/// A connection of the server.
pub(crate) enum ServerStream {
    Plain(LimitedConnection),
    Tls(Box<TlsStream<LimitedConnection>>),
}

/// Calls the same method of either kind of connection.
macro_rules! delegate {
    ($self:ident, $stream:ident => $call:expr) => {
        match $self.get_mut() {
            ServerStream::Plain($stream) => $call,
            ServerStream::Tls(boxed) => {
                let $stream = &mut **boxed;
                $call
            }
        }
    };
}

impl Connected for ServerStream {
    type ConnectInfo = ConnectionInfo;

    fn connect_info(&self) -> ConnectionInfo {
        match self {
            ServerStream::Plain(stream) => stream.connect_info(),
            ServerStream::Tls(stream) => stream.get_ref().0.connect_info(),
        }
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        delegate!(self, stream => Pin::new(stream).poll_read(cx, buffer))
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        delegate!(self, stream => Pin::new(stream).poll_write(cx, bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        delegate!(self, stream => Pin::new(stream).poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        delegate!(self, stream => Pin::new(stream).poll_shutdown(cx))
    }
}
