//! What the script lets happen.

use super::setup;
use super::state::{Pending, Proxy, World};
use super::times::{REOPEN_DELAY, START};
use crate::proxy::Way;
use crate::script::{Happens, Phase};
use rushcourse_director_state::Input;
use rushcourse_xds as xds;
use serde_json::json;

impl World<'_> {
    pub(super) fn play_event(&mut self, event: Happens) {
        match event {
            Happens::Joins(k) => self.join(k),
            Happens::Leaves(k) => self.leave(k),
            Happens::Lists { host, phase, cold } => self.list(host, phase, cold),
            Happens::Stalls(k) => self.stall(k, true),
            Happens::Resumes(k) => self.stall(k, false),
            Happens::RelayStalls => self.stall_relay(true),
            Happens::RelayResumes => self.stall_relay(false),
            Happens::Restarts => self.restart(),
            Happens::Reports(all) => self.reports(all),
        }
    }

    fn join(&mut self, k: usize) {
        let p = self.script.proxies[k];
        self.checker.joined(self.now, p.number, p.rate);
        let stalled = self.proxies[k].stalled;
        self.proxies[k] = Proxy {
            joined: true,
            stalled,
            ..Proxy::default()
        };
        if self.mode.way(k) == Way::Platform {
            self.news(setup::joined(self.script, &p, true));
        } else {
            self.open(k);
        }
    }

    fn leave(&mut self, k: usize) {
        let number = self.script.proxies[k].number;
        self.checker.left(number);
        self.proxies[k].joined = false;
        self.proxies[k].waiting.clear();
        if self.mode.way(k) == Way::Platform {
            self.relay.forget(number);
            return self.news(format!("* left {number}"));
        }
        for stream in [self.proxies[k].ads, self.proxies[k].lrs] {
            self.streams.remove(&stream);
            self.give(Input::Stream(xds::Input::StreamClosed {
                stream,
                reason: String::new(),
            }));
        }
    }

    /// A host changes in the list; a cold one has just started.
    fn list(&mut self, host: usize, phase: Phase, cold: bool) {
        let up = match (cold, self.hosts[host]) {
            (true, _) => START + self.now,
            (false, Some((_, up))) => up,
            (false, None) => 0.0,
        };
        self.hosts[host] = Some((phase, up));
        self.tell_checker_list();
        self.revision += 1;
        let changed = setup::member(self.script, host, phase, up);
        let body = json!({"revision": self.revision, "complete": false, "members": [changed]});
        let ask = self.list_request;
        self.give(Input::Listed {
            ask,
            body: body.to_string().into(),
        });
    }

    fn stall_relay(&mut self, stalls: bool) {
        self.relay_stalls = stalls;
        for k in 0..self.proxies.len() {
            if self.mode.way(k) == Way::Platform && !self.proxies[k].stalled {
                self.checker
                    .stalled(self.now, self.script.proxies[k].number, stalls);
            }
        }
    }

    fn stall(&mut self, k: usize, stalls: bool) {
        self.proxies[k].stalled = stalls;
        self.checker
            .stalled(self.now, self.script.proxies[k].number, stalls);
        if stalls {
            return;
        }
        if std::mem::take(&mut self.proxies[k].untaken) {
            let stream = self.proxies[k].ads;
            self.give(Input::Stream(xds::Input::ResponseAccepted { stream }));
        }
        for pending in std::mem::take(&mut self.proxies[k].waiting) {
            self.after(0.0, pending);
        }
        if self.mode.way(k) != Way::Platform && !self.streams.contains_key(&self.proxies[k].ads) {
            self.after(0.0, Pending::Reopens(k));
        }
    }

    /// The director dies and comes back with the list that it had: streams are opened anew, and the relay tells who
    /// stands. What was on its way from the old one is lost with it.
    fn restart(&mut self) {
        self.director_starts += 1;
        self.session = setup::director(
            self.script,
            setup::members(self.script, &self.hosts),
            self.director_starts,
        );
        self.streams.clear();
        // What the relay kept of the old one's tables went with it; proxies hold what they had.
        self.relay = setup::relay();
        self.wake = f64::INFINITY;
        self.checker.restarted(self.now);
        self.queue.retain(|_, t| {
            !matches!(
                t,
                Pending::WatchEnds(_) | Pending::Answer { .. } | Pending::Response { .. }
            )
        });
        self.begin();
        for k in 0..self.proxies.len() {
            if self.proxies[k].joined {
                self.proxies[k].waiting.clear();
                self.proxies[k].untaken = false;
                self.after(REOPEN_DELAY, Pending::Reopens(k));
            }
        }
    }
}
