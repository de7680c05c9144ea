//! TLS at the gRPC address, with keys that change in service: new connections get the newest, those that stand go on.

use crate::connections::{Bounded, Info};
pub use rushcourse_tls::Files as Tls;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, RwLock};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::server::TlsStream;
use tonic::transport::server::Connected;

/// A greeting takes no longer: whoever says none is let go.
const GREETING: Duration = Duration::from_secs(2);

/// The keys that new connections get; none: they speak plainly.
#[derive(Clone, Default)]
pub struct Keys(Arc<RwLock<Option<TlsAcceptor>>>);

impl Keys {
    /// New connections get these from now on. Files that can't be used change nothing.
    pub fn set(&self, tls: Option<&Tls>) -> Result<(), String> {
        let config = tls.map(|files| files.server(&[b"h2"])).transpose()?;
        *self.0.write().unwrap_or_else(|e| e.into_inner()) = config.map(TlsAcceptor::from);
        Ok(())
    }

    /// Greets a connection, if connections are to be greeted; none where it says something else, or nothing.
    pub async fn greet(&self, stream: Bounded) -> Option<Io> {
        let acceptor = self.0.read().unwrap_or_else(|e| e.into_inner()).clone();
        match acceptor {
            None => Some(Io::Plain(stream)),
            Some(acceptor) => {
                let greeted = timeout(GREETING, acceptor.accept(stream)).await;
                greeted.ok()?.ok().map(|stream| Io::Tls(Box::new(stream)))
            }
        }
    }
}

/// A connection, greeted or plain.
pub enum Io {
    Plain(Bounded),
    Tls(Box<TlsStream<Bounded>>),
}

macro_rules! through {
    ($self:ident, $stream:ident => $call:expr) => {
        match $self.get_mut() {
            Io::Plain($stream) => $call,
            Io::Tls(boxed) => {
                let $stream = &mut **boxed;
                $call
            }
        }
    };
}

impl Connected for Io {
    type ConnectInfo = Info;

    fn connect_info(&self) -> Info {
        match self {
            Io::Plain(stream) => stream.connect_info(),
            Io::Tls(stream) => stream.get_ref().0.connect_info(),
        }
    }
}

impl AsyncRead for Io {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        through!(self, stream => Pin::new(stream).poll_read(cx, to))
    }
}

impl AsyncWrite for Io {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        through!(self, stream => Pin::new(stream).poll_write(cx, bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        through!(self, stream => Pin::new(stream).poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        through!(self, stream => Pin::new(stream).poll_shutdown(cx))
    }
}
