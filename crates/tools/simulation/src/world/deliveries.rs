//! Handling of deliveries that are due.

use super::outcome::InjectedFault;
use super::queue::Pending;
use super::setup;
use super::state::World;
use super::times::TRANSIT_TIME;
use crate::proxy::PlatformRelay;
use rushcourse_policy::interface::{AckNumber, Ms};
use rushcourse_xds as xds;
use std::rc::Rc;

/// Interval of keepalive lines on the relay's watch, in ms.
pub(super) const KEEPALIVE_INTERVAL: Ms = 1000.0;

impl World<'_> {
    pub(super) fn deliver(&mut self, pending: Pending) {
        match pending {
            Pending::Event(index) => {
                let timed = &self.script.events[index];
                self.play_event(timed.event.clone());
            }
            Pending::WatchTimeout(request) => {
                if request == self.director.list_request {
                    self.list_changes(&[]);
                }
            }
            Pending::Keepalive => {
                self.watch_line("*".into());
                self.schedule_after(KEEPALIVE_INTERVAL, Pending::Keepalive);
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
                    let (number, elapsed) = (self.proxy_number(proxy), 2.0 * TRANSIT_TIME);
                    self.watch_line(format!("* applied {number} {ack_number} {elapsed}"));
                }
            }
            Pending::Response { stream, response } => self.deliver_response(stream, response),
            Pending::StreamAck { stream, nonce } => self.deliver_stream_ack(stream, nonce),
            Pending::ProxyReconnects(proxy) => self.reconnect(proxy),
            Pending::Reports(reports) => self.send_collector_reports(&reports),
        }
    }

    /// Delivers the relay's tables to a proxy, or holds them back while the proxy is stalled.
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
            return state.undelivered.push(Pending::RelayTables {
                proxies: vec![proxy],
                tables: tables.clone(),
                ack_number,
            });
        }
        state.relay_tables = Some(tables.clone());
        self.report_tables_to_checker(proxy);
        if let Some(ack_number) = ack_number {
            self.schedule_after(TRANSIT_TIME, Pending::Acknowledgement { proxy, ack_number });
        }
    }

    /// Delivers a discovery response to its proxy, or holds it back while the proxy is stalled.
    fn deliver_response(&mut self, stream: xds::StreamId, response: xds::Response) {
        let Some(proxy) = self.streams.proxies.get(&stream).copied() else {
            return;
        };
        let state = &mut self.proxies[proxy];
        if state.is_stalled {
            return state
                .undelivered
                .push(Pending::Response { stream, response });
        }
        let previous = state.stream_tables.tables.clone();
        state.stream_tables.apply(&response);
        if self.injected_fault == Some(InjectedFault::KeepRemovedHosts) {
            state.stream_tables.keep_previous_hosts(&previous);
        }
        self.report_tables_to_checker(proxy);
        if let Some(nonce) = response.nonce().map(String::from) {
            self.schedule_after(TRANSIT_TIME, Pending::StreamAck { stream, nonce });
        }
    }

    fn deliver_stream_ack(&mut self, stream: xds::StreamId, nonce: String) {
        let Some(proxy) = self.streams.proxies.get(&stream).copied() else {
            return;
        };
        let request = self.later_request(proxy, nonce);
        self.handle_stream_input(xds::Input::RequestReceived { stream, request });
    }

    /// Announces a joined proxy to the director again: on the relay's watch, or with new streams unless it is stalled.
    fn reconnect(&mut self, proxy: usize) {
        let state = &self.proxies[proxy];
        if state.is_joined && self.uses_relay(proxy) {
            let spec = &self.script.proxies[proxy];
            self.watch_line(setup::joined_line(self.script, spec, false));
        } else if state.is_joined && !state.is_stalled {
            self.open_streams(proxy);
        }
    }
}
