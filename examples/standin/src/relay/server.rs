//! Serves the relay's connections. A connection carries calls until a `WATCH` line turns it into a watch.

use super::state::{CallFault, Notification, Shared};
use futures_util::StreamExt;
use std::collections::BTreeSet;
use std::future;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::codec::{FramedRead, LinesCodec};

/// Maximum length of a received line; a longer one closes the connection.
const MAX_LINE_BYTES: usize = 1 << 20;
/// Interval of keep-alive lines (`*`) to watchers.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Simulated time that a proxy takes to apply a call.
const APPLY_DELAY: Duration = Duration::from_millis(40);

/// Serves connections of a listener until `is_serving` becomes false.
pub(super) async fn serve(
    shared: &Arc<Shared>,
    listener: TcpListener,
    mut is_serving: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = is_serving.wait_for(|is_serving| !is_serving) => return,
        };
        let Ok((stream, _)) = accepted else { return };
        let (shared, mut is_serving) = (shared.clone(), is_serving.clone());
        tokio::spawn(async move {
            tokio::select! {
                _ = serve_connection(shared, stream) => {}
                _ = is_serving.wait_for(|is_serving| !is_serving) => {}
            }
        });
    }
}

async fn serve_connection(shared: Arc<Shared>, stream: TcpStream) {
    let (read, mut write) = stream.into_split();
    let mut lines = FramedRead::new(read, LinesCodec::new_with_max_length(MAX_LINE_BYTES));
    while let Some(Ok(line)) = lines.next().await {
        let is_open = if line == "WATCH" {
            return serve_watch(shared, write).await;
        } else if let Some(orders) = line.strip_prefix("APPLY ") {
            serve_call(&shared, orders, &mut write).await
        } else {
            send_line(&mut write, "SYNTAX").await
        };
        if !is_open {
            return;
        }
    }
}

/// Decrements the watcher count when a watch ends.
struct WatchGuard(Arc<Shared>);

impl Drop for WatchGuard {
    fn drop(&mut self) {
        self.0.state().watcher_count -= 1;
    }
}

/// Counts a new watch and returns its guard with the notifications of all joined proxies.
fn start_watch(shared: Arc<Shared>) -> (WatchGuard, String) {
    let joined = {
        let mut state = shared.state();
        state.watcher_count += 1;
        state.total_watch_count += 1;
        state
            .joined
            .iter()
            .map(|(number, proxy)| proxy.notification(*number) + "\r\n")
            .collect()
    };
    (WatchGuard(shared), joined)
}

/// Serves a watch: first the notifications of all joined proxies, then new notifications and keep-alive lines.
async fn serve_watch(shared: Arc<Shared>, mut write: OwnedWriteHalf) {
    let mut notifications = shared.subscribe();
    let (_guard, joined) = start_watch(shared.clone());
    let mut keep_alive = tokio::time::interval(KEEP_ALIVE_INTERVAL);
    keep_alive.reset();
    let mut is_open = send(&mut write, &format!("OK\r\n{joined}")).await;
    while is_open {
        let line = tokio::select! {
            notification = notifications.recv() => match notification {
                Ok(Notification::Line(line)) => line,
                Ok(Notification::Disconnect) | Err(_) => break,
            },
            _ = keep_alive.tick() => "*".to_string(),
        };
        if !shared.state().is_unreachable {
            is_open = send_line(&mut write, &line).await;
        }
    }
}

/// Serves a call with the next queued fault, if any. Returns `false` if the connection must be closed.
async fn serve_call(shared: &Arc<Shared>, orders: &str, write: &mut OwnedWriteHalf) -> bool {
    let (fault, is_unreachable) = {
        let mut state = shared.state();
        state.received_calls.push(orders.to_string());
        (state.faults.pop_front(), state.is_unreachable)
    };
    if is_unreachable {
        return future::pending().await;
    }
    let is_applied = match fault {
        None => true,
        Some(CallFault::Busy | CallFault::SyntaxError) => false,
        Some(
            CallFault::Disconnect { is_applied }
            | CallFault::NoReply { is_applied }
            | CallFault::GarbledReply { is_applied },
        ) => is_applied,
    };
    let accepted = if is_applied {
        apply_and_acknowledge(shared, orders)
    } else {
        0
    };
    match fault {
        None => send_line(write, &format!("OK {accepted}")).await,
        Some(CallFault::Disconnect { .. }) => false,
        Some(CallFault::NoReply { .. }) => true,
        Some(CallFault::GarbledReply { .. }) => send_line(write, "KO ...").await,
        Some(CallFault::Busy) => send_line(write, "BUSY").await,
        Some(CallFault::SyntaxError) => send_line(write, "SYNTAX").await,
    }
}

/// Applies a call and returns the number of accepted orders. If it contains a mark, the affected proxies acknowledge it
/// after [`APPLY_DELAY`].
fn apply_and_acknowledge(shared: &Arc<Shared>, orders: &str) -> usize {
    let (accepted, effects) = shared.state().apply_call(orders);
    if let Some(mark) = effects.mark {
        let shared = shared.clone();
        tokio::spawn(async move {
            tokio::time::sleep(APPLY_DELAY).await;
            acknowledge(&shared, mark, &effects.recipients);
        });
    }
    accepted
}

/// Notifies watchers that these proxies have applied the call with this mark.
fn acknowledge(shared: &Shared, mark: u16, proxies: &BTreeSet<u32>) {
    let mut state = shared.state();
    for number in proxies {
        if let Some(proxy) = state.joined.get_mut(number) {
            proxy.is_fresh = false;
            shared.send(Notification::Line(format!(
                "* applied {number} {mark} 40.0"
            )));
        }
    }
}

/// Sends a line with its terminator. Returns `false` if the connection is closed.
async fn send_line(write: &mut OwnedWriteHalf, line: &str) -> bool {
    send(write, &format!("{line}\r\n")).await
}

async fn send(write: &mut OwnedWriteHalf, text: &str) -> bool {
    write.write_all(text.as_bytes()).await.is_ok()
}
