//! What was on its way arrives.

use super::outcome::Flaw;
use super::setup;
use super::state::{Pending, World};
use super::times::TRANSIT;
use crate::proxy::{Relay, Way};
use crate::script::At;
use rushcourse_director_state::{Input, Link};
use rushcourse_xds as xds;
use serde_json::json;
use std::rc::Rc;

/// ms between two signs of life in the relay's news.
pub(super) const KEEPALIVE: At = 1000.0;

impl World<'_> {
    pub(super) fn deliver(&mut self, pending: Pending) {
        match pending {
            Pending::Event(k) => {
                let event = self.script.events[k].1.clone();
                self.play_event(event);
            }
            Pending::WatchEnds(ask) if ask == self.list_request => {
                let body = json!({"revision": self.revision, "complete": false, "members": []})
                    .to_string();
                self.give(Input::Listed {
                    ask,
                    body: body.into(),
                });
            }
            Pending::WatchEnds(_) => {}
            Pending::Keepalive => {
                self.news("*".into());
                self.after(KEEPALIVE, Pending::Keepalive);
            }
            Pending::RelayTables {
                proxies,
                tables,
                mark,
            } => {
                proxies
                    .into_iter()
                    .for_each(|k| self.relay_tables(k, &tables, mark));
            }
            Pending::Applied { proxy, mark } => {
                if self.proxies[proxy].joined {
                    let number = self.script.proxies[proxy].number;
                    self.news(format!("* applied {number} {mark} {}", 2.0 * TRANSIT));
                }
            }
            Pending::Response { stream, response } => self.response(stream, response),
            Pending::Answer { stream, nonce } => {
                let Some(k) = self.streams.get(&stream).copied() else {
                    return;
                };
                let request = self.request(k, nonce, false);
                self.give(Input::Stream(xds::Input::RequestReceived {
                    stream,
                    request,
                }));
            }
            Pending::Reopens(k) => self.reopen(k),
            Pending::Reports(all) => self.collector_reports(&all),
        }
    }

    /// The platform's tables reach a proxy, or wait until it runs again.
    fn relay_tables(&mut self, k: usize, tables: &Rc<Relay>, mark: Option<u16>) {
        let proxy = &mut self.proxies[k];
        if !proxy.joined {
            return;
        }
        if proxy.stalled {
            let pending = Pending::RelayTables {
                proxies: vec![k],
                tables: tables.clone(),
                mark,
            };
            return proxy.waiting.push(pending);
        }
        proxy.tables = Some(tables.clone());
        self.table_changed(k);
        if let Some(mark) = mark {
            self.after(TRANSIT, Pending::Applied { proxy: k, mark });
        }
    }

    /// A response reaches its proxy, or waits until it runs again.
    fn response(&mut self, stream: xds::StreamId, response: xds::Response) {
        let Some(k) = self.streams.get(&stream).copied() else {
            return;
        };
        let proxy = &mut self.proxies[k];
        if proxy.stalled {
            return proxy.waiting.push(Pending::Response { stream, response });
        }
        let before = proxy.streamed.tables.clone();
        proxy.streamed.take(&response);
        if self.flaw == Some(Flaw::KeepsHosts) {
            proxy.streamed.keep(&before);
        }
        self.table_changed(k);
        if let Some(nonce) = response.nonce().map(String::from) {
            self.after(TRANSIT, Pending::Answer { stream, nonce });
        }
    }

    /// A joined proxy is known to the director again.
    fn reopen(&mut self, k: usize) {
        if self.proxies[k].joined && self.mode.way(k) == Way::Platform {
            self.news(setup::joined(self.script, &self.script.proxies[k], false));
        } else if self.proxies[k].joined && !self.proxies[k].stalled {
            self.open(k);
        }
    }

    /// The relay tells a line of news.
    pub(super) fn news(&mut self, text: String) {
        let turn = self.news_turn;
        self.give(Input::Line {
            link: Link::News,
            turn,
            text,
        });
    }
}
