//! A relay: it takes calls with orders, keeps the tables that they make, and tells news of proxies. It can be
//! told to misbehave.

use futures_util::StreamExt;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{broadcast, watch};
use tokio_util::codec::{FramedRead, LinesCodec};

/// What happens to a call. `done`: it is carried out all the same.
#[derive(Clone, Debug)]
pub enum Fault {
    Break { done: bool },
    Silence { done: bool },
    Garble { done: bool },
    Busy,
    Syntax,
}

#[derive(Clone, Debug)]
struct Joined {
    zone: String,
    rate: f64,
    fresh: bool,
}

/// What goes to those who watch.
#[derive(Clone, Debug)]
enum News {
    Line(String),
    Break,
}

#[derive(Default)]
struct State {
    joined: BTreeMap<u32, Joined>,
    tables: BTreeMap<u32, BTreeMap<String, f64>>,
    /// By proxy and words of classes.
    bound: BTreeMap<(u32, String), u32>,
    withdrawn: BTreeSet<String>,
    faults: VecDeque<Fault>,
    /// Every call that came, and every order that was taken.
    calls: Vec<String>,
    taken: Vec<String>,
    /// When messages went to each proxy.
    messages: BTreeMap<u32, Vec<Instant>>,
    silent: bool,
    watchers: usize,
    /// Watches that ever stood.
    watched: usize,
}

#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    news: broadcast::Sender<News>,
    /// Whether this address still serves.
    open: Arc<watch::Sender<bool>>,
}

impl Relay {
    pub async fn start(address: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let relay = Relay {
            address,
            state: Arc::default(),
            news: broadcast::channel(1024).0,
            open: Arc::new(watch::channel(true).0),
        };
        relay.serve(listener);
        Ok(relay)
    }

    /// The same relay at another address as well.
    pub async fn also_at(&self, address: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind(address).await?;
        let open = Arc::new(watch::channel(true).0);
        let relay = Relay {
            address: listener.local_addr()?,
            open,
            ..self.clone()
        };
        relay.serve(listener);
        Ok(relay)
    }

    /// This address takes no new connection and closes those that are open.
    pub fn close(&self) {
        self.open.send_replace(false);
    }

    fn serve(&self, listener: TcpListener) {
        let own = self.clone();
        tokio::spawn(async move {
            let mut open = own.open.subscribe();
            loop {
                let stream = tokio::select! {
                    accepted = listener.accept() => accepted.map(|(stream, _)| stream),
                    _ = open.wait_for(|open| !open) => return,
                };
                let Ok(stream) = stream else { return };
                let (own, mut open) = (own.clone(), own.open.subscribe());
                tokio::spawn(async move {
                    tokio::select! {
                        _ = own.talk(stream) => {}
                        _ = open.wait_for(|open| !open) => {}
                    }
                });
            }
        });
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn join(&self, proxy: u32, zone: &str, rate: f64) {
        let joined = Joined {
            zone: zone.into(),
            rate,
            fresh: true,
        };
        let line = joined_line(proxy, &joined);
        self.state().joined.insert(proxy, joined);
        _ = self.news.send(News::Line(line));
    }

    pub fn leave(&self, proxy: u32) {
        let mut state = self.state();
        state.joined.remove(&proxy);
        state.messages.remove(&proxy);
        state.bound.retain(|(p, _), _| *p != proxy);
        drop(state);
        _ = self.news.send(News::Line(format!("* left {proxy}")));
    }

    /// The next call meets this fault, one after the other.
    pub fn fault(&self, fault: Fault) {
        self.state().faults.push_back(fault);
    }

    /// No faults any more.
    pub fn calm(&self) {
        self.state().faults.clear();
    }

    /// Breaks all watches.
    pub fn break_news(&self) {
        _ = self.news.send(News::Break);
    }

    /// A line of one's own to all that watch.
    pub fn say(&self, line: &str) {
        _ = self.news.send(News::Line(line.into()));
    }

    /// Out of reach: connections stay open, and nothing is said on them.
    pub fn silence(&self, silent: bool) {
        self.state().silent = silent;
    }

    pub fn calls(&self) -> Vec<String> {
        self.state().calls.clone()
    }

    pub fn taken(&self) -> Vec<String> {
        self.state().taken.clone()
    }

    /// Most messages to one proxy within a span.
    pub fn most_messages(&self, within: Duration) -> usize {
        let state = self.state();
        let most = |times: &Vec<Instant>| {
            let from = |k: usize| {
                times[k..]
                    .iter()
                    .take_while(|t| t.duration_since(times[k]) <= within)
                    .count()
            };
            (0..times.len()).map(from).max().unwrap_or(0)
        };
        state.messages.values().map(most).max().unwrap_or(0)
    }

    /// The lines of a table, by its number.
    pub fn table(&self, table: u32) -> BTreeMap<String, f64> {
        self.state().tables.get(&table).cloned().unwrap_or_default()
    }

    pub fn watchers(&self) -> usize {
        self.state().watchers
    }

    pub fn watched(&self) -> usize {
        self.state().watched
    }

    /// The lines that a proxy may pick from: of all its tables, what is not withdrawn.
    pub fn lines(&self, proxy: u32) -> BTreeMap<String, f64> {
        let state = self.state();
        let tables = state
            .bound
            .iter()
            .filter(|((p, _), _)| *p == proxy)
            .map(|(_, t)| *t);
        let lines = tables.filter_map(|t| state.tables.get(&t)).flatten();
        lines
            .filter(|(h, _)| !state.withdrawn.contains(*h))
            .map(|(h, w)| (h.clone(), *w))
            .collect()
    }

    /// Whether the tables of a proxy still name a host, withdrawn or not.
    pub fn names(&self, proxy: u32, host: &str) -> bool {
        let state = self.state();
        let mut tables = state
            .bound
            .iter()
            .filter(|((p, _), _)| *p == proxy)
            .map(|(_, t)| *t);
        tables.any(|t| state.tables.get(&t).is_some_and(|t| t.contains_key(host)))
    }

    async fn talk(self, stream: TcpStream) {
        let (read, mut write) = stream.into_split();
        let mut lines = FramedRead::new(read, LinesCodec::new_with_max_length(1 << 20));
        while let Some(Ok(line)) = lines.next().await {
            let more = if line == "WATCH" {
                return self.watch(write).await;
            } else if let Some(orders) = line.strip_prefix("APPLY ") {
                self.call(orders, &mut write).await
            } else {
                write.write_all(b"SYNTAX\r\n").await.is_ok()
            };
            if !more {
                return;
            }
        }
    }

    async fn watch(self, mut write: OwnedWriteHalf) {
        // From here on nothing is missed: what stands is told first.
        let mut news = self.news.subscribe();
        let standing: String = {
            let mut state = self.state();
            state.watchers += 1;
            state.watched += 1;
            state
                .joined
                .iter()
                .map(|(p, j)| joined_line(*p, j) + "\r\n")
                .collect()
        };
        let _counted = Counted(self.clone());
        let mut life = tokio::time::interval(Duration::from_secs(1));
        life.reset();
        let mut open = write
            .write_all(format!("OK\r\n{standing}").as_bytes())
            .await
            .is_ok();
        while open {
            let line = tokio::select! {
                news = news.recv() => match news {
                    Ok(News::Line(line)) => line,
                    Ok(News::Break) | Err(_) => break,
                },
                _ = life.tick() => "*".to_string(),
            };
            if !self.state().silent {
                open = write
                    .write_all(format!("{line}\r\n").as_bytes())
                    .await
                    .is_ok();
            }
        }
    }

    /// Whether the connection goes on.
    async fn call(&self, orders: &str, write: &mut OwnedWriteHalf) -> bool {
        let (fault, silent) = {
            let mut state = self.state();
            state.calls.push(orders.to_string());
            (state.faults.pop_front(), state.silent)
        };
        if silent {
            return std::future::pending().await;
        }
        let text = match fault {
            None => format!("OK {}", self.carry_out(orders)),
            Some(Fault::Busy) => "BUSY".into(),
            Some(Fault::Syntax) => "SYNTAX".into(),
            Some(Fault::Break { done } | Fault::Silence { done } | Fault::Garble { done }) => {
                if done {
                    self.carry_out(orders);
                }
                match fault {
                    Some(Fault::Break { .. }) => return false,
                    Some(Fault::Silence { .. }) => return true,
                    _ => "KO ...".into(),
                }
            }
        };
        write
            .write_all(format!("{text}\r\n").as_bytes())
            .await
            .is_ok()
    }

    /// Takes orders until the first bad one; says how many. Proxies that a mark reaches answer a little later.
    fn carry_out(&self, orders: &str) -> usize {
        let mut state = self.state();
        let (mut reached, mut mark, mut taken) = (BTreeSet::new(), None, 0);
        for order in orders.split(';') {
            let words: Vec<&str> = order.split(',').collect();
            if take(&mut state, &words, &mut reached, &mut mark).is_none() {
                break;
            }
            state.taken.push(order.to_string());
            taken += 1;
        }
        // All that a call has for a proxy is one message.
        for proxy in reached
            .iter()
            .filter(|p| state.joined.contains_key(p))
            .copied()
            .collect::<Vec<_>>()
        {
            state
                .messages
                .entry(proxy)
                .or_default()
                .push(Instant::now());
        }
        if let Some(mark) = mark {
            let own = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(40)).await;
                for proxy in reached {
                    let mut state = own.state();
                    if let Some(joined) = state.joined.get_mut(&proxy) {
                        joined.fresh = false;
                        _ = own
                            .news
                            .send(News::Line(format!("* applied {proxy} {mark} 40.0")));
                    }
                }
            });
        }
        taken
    }
}

/// A watch that stands; it is counted until it ends, however it does.
struct Counted(Relay);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.state().watchers -= 1;
    }
}

fn joined_line(proxy: u32, j: &Joined) -> String {
    format!(
        "* joined {proxy} {} {} {}",
        j.zone,
        j.rate,
        u8::from(j.fresh)
    )
}

/// Takes one order; `None` if it can't be read or used.
fn take(
    state: &mut State,
    words: &[&str],
    reached: &mut BTreeSet<u32>,
    mark: &mut Option<u16>,
) -> Option<()> {
    let users = |state: &State, table: u32| -> Vec<u32> {
        state
            .bound
            .iter()
            .filter(|(_, t)| **t == table)
            .map(|((p, _), _)| *p)
            .collect()
    };
    match words {
        ["share", table, host, weight] => {
            let (table, weight): (u32, f64) = (
                table.parse().ok()?,
                weight.parse().ok().filter(|w| *w >= 0.0)?,
            );
            let lines = state.tables.entry(table).or_default();
            if weight > 0.0 {
                lines.insert(host.to_string(), weight);
            } else {
                lines.remove(*host);
            }
            reached.extend(users(state, table));
        }
        ["clear", table] => {
            let table = table.parse().ok()?;
            state.tables.remove(&table);
            reached.extend(users(state, table));
        }
        ["bind", proxy, table, classes] => {
            let (proxy, table) = (proxy.parse().ok()?, table.parse().ok()?);
            state.joined.get(&proxy)?;
            state.bound.insert((proxy, classes.to_string()), table);
            reached.insert(proxy);
        }
        ["withdraw" | "restore", host] => {
            if words[0] == "withdraw" {
                state.withdrawn.insert(host.to_string());
            } else {
                state.withdrawn.remove(*host);
            }
            // It is a line for each proxy whose tables name the host.
            let tables = state
                .tables
                .iter()
                .filter(|(_, lines)| lines.contains_key(*host))
                .map(|(t, _)| *t);
            let tables: Vec<u32> = tables.collect();
            tables
                .into_iter()
                .for_each(|t| reached.extend(users(state, t)));
        }
        ["admit", table, _classes, quota, again] => {
            quota.parse::<f64>().ok().filter(|q| *q >= 0.0)?;
            again.parse::<u8>().ok().filter(|a| *a <= 3)?;
            table
                .parse::<u32>()
                .ok()
                .into_iter()
                .for_each(|t| reached.extend(users(state, t)));
        }
        ["mark", number, all] => {
            *mark = Some(number.parse().ok()?);
            if *all == "1" {
                reached.extend(state.joined.keys().copied().collect::<Vec<_>>());
            }
        }
        _ => return None,
    }
    Some(())
}
