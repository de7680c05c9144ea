//! What was on its way arrives.

use super::outcome::Flaw;
use super::queue::Pending;
use super::setup;
use super::state::World;
use super::times::TRANSIT;
use crate::proxy::PlatformRelay;
use rushcourse_policy::interface::{AckNumber, Ms};
use rushcourse_xds as xds;
use std::rc::Rc;

/// ms between two signs of life on the relay's watch.
pub(super) const KEEPALIVE_INTERVAL: Ms = 1000.0;

impl World<'_> {
    pub(super) fn deliver(&mut self, pending: Pending) {
        match pending {
            Pending::Event(index) => {
                let timed = &self.script.events[index];
                self.play_event(timed.event.clone());
            }
            Pending::WatchEnds(request) => {
                if request == self.director.list_request {
                    self.list_changes(&[]);
                }
            }
            Pending::Keepalive => {
                self.watch_line("*".into());
                self.after(KEEPALIVE_INTERVAL, Pending::Keepalive);
            }
            Pending::RelayTables {
                proxies,
                tables,
                ack_number,
            } => {
                for proxy in proxies {
                    self.deliver_relay_tables(proxy, &tables, ack_number);
                }
            }
            Pending::Acknowledgement { proxy, ack_number } => {
                if self.proxies[proxy].is_joined {
                    let (number, elapsed) = (self.number(proxy), 2.0 * TRANSIT);
                    self.watch_line(format!("* applied {number} {ack_number} {elapsed}"));
                }
            }
            Pending::Response { stream, response } => self.deliver_response(stream, response),
            Pending::StreamAck { stream, nonce } => self.deliver_stream_ack(stream, nonce),
            Pending::Reopens(proxy) => self.reopen(proxy),
            Pending::Reports(reports) => self.collector_reports(&reports),
        }
    }

    /// The platform's tables reach a proxy, or wait until it runs again.
    fn deliver_relay_tables(
        &mut self,
        proxy: usize,
        tables: &Rc<PlatformRelay>,
        ack_number: Option<AckNumber>,
    ) {
        let state = &mut self.proxies[proxy];
        if !state.is_joined {
            return;
        }
        if state.is_stalled {
            return state.waiting.push(Pending::RelayTables {
                proxies: vec![proxy],
                tables: tables.clone(),
                ack_number,
            });
        }
        state.relay_tables = Some(tables.clone());
        self.table_changed(proxy);
        if let Some(ack_number) = ack_number {
            self.after(TRANSIT, Pending::Acknowledgement { proxy, ack_number });
        }
    }

    /// A response reaches its proxy, or waits until it runs again.
    fn deliver_response(&mut self, stream: xds::StreamId, response: xds::Response) {
        let Some(proxy) = self.streams.proxies.get(&stream).copied() else {
            return;
        };
        let state = &mut self.proxies[proxy];
        if state.is_stalled {
            return state.waiting.push(Pending::Response { stream, response });
        }
        let before = state.stream_tables.tables.clone();
        state.stream_tables.apply(&response);
        if self.flaw == Some(Flaw::KeepsHosts) {
            state.stream_tables.keep_hosts(&before);
        }
        self.table_changed(proxy);
        if let Some(nonce) = response.nonce().map(String::from) {
            self.after(TRANSIT, Pending::StreamAck { stream, nonce });
        }
    }

    fn deliver_stream_ack(&mut self, stream: xds::StreamId, nonce: String) {
        let Some(proxy) = self.streams.proxies.get(&stream).copied() else {
            return;
        };
        let request = self.later_request(proxy, nonce);
        self.give_stream(xds::Input::RequestReceived { stream, request });
    }

    /// A joined proxy is known to the director again.
    fn reopen(&mut self, proxy: usize) {
        let state = &self.proxies[proxy];
        if state.is_joined && self.is_on_relay(proxy) {
            let spec = &self.script.proxies[proxy];
            self.watch_line(setup::joined_line(self.script, spec, false));
        } else if state.is_joined && !state.is_stalled {
            self.open_streams(proxy);
        }
    }
}
