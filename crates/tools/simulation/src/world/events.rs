//! Handling of the events of a script.

use super::list::ListedHost;
use super::queue::Pending;
use super::setup;
use super::state::{SimulatedProxy, World};
use super::times::START_TIME;
use crate::script::{Phase, ScriptEvent};
use rushcourse_xds as xds;

impl World<'_> {
    pub(super) fn play_event(&mut self, event: ScriptEvent) {
        match event {
            ScriptEvent::ProxyJoins(proxy) => self.join(proxy),
            ScriptEvent::ProxyLeaves(proxy) => self.leave(proxy),
            ScriptEvent::HostChanges {
                host,
                phase,
                has_just_started,
            } => self.change_host(host, phase, has_just_started),
            ScriptEvent::ProxyStalls(proxy) => self.stall(proxy),
            ScriptEvent::ProxyResumes(proxy) => self.resume(proxy),
            ScriptEvent::RelayStalls => self.set_relay_stalled(true),
            ScriptEvent::RelayResumes => self.set_relay_stalled(false),
            ScriptEvent::DirectorRestarts => self.restart_director(),
            ScriptEvent::Reports(reports) => self.send_reports(reports),
        }
    }

    fn join(&mut self, proxy: usize) {
        let spec = self.script.proxies[proxy];
        self.checker.proxy_joined(self.now, spec.number, spec.rate);
        self.proxies[proxy] = SimulatedProxy {
            is_joined: true,
            is_stalled: self.proxies[proxy].is_stalled,
            ..SimulatedProxy::default()
        };
        if self.uses_relay(proxy) {
            self.watch_line(setup::joined_line(self.script, &spec, true));
        } else {
            self.open_streams(proxy);
        }
    }

    fn leave(&mut self, proxy: usize) {
        let number = self.proxy_number(proxy);
        self.checker.proxy_left(number);
        let state = &mut self.proxies[proxy];
        state.is_joined = false;
        state.undelivered.clear();
        let streams = [state.discovery_stream, state.report_stream];
        if self.uses_relay(proxy) {
            self.relay.relay.unbind_proxy(number);
            return self.watch_line(format!("* left {number}"));
        }
        for stream in streams {
            self.streams.proxies.remove(&stream);
            self.handle_stream_input(xds::Input::StreamClosed {
                stream,
                reason: String::new(),
            });
        }
    }

    /// Changes a host's entry in the list and sends the change to the director. If `has_just_started`, the host's start
    /// time is set to now.
    fn change_host(&mut self, host: usize, phase: Phase, has_just_started: bool) {
        let previous_start = self.list.hosts[host].map_or(0.0, |listed| listed.started_at);
        let started_at = if has_just_started {
            START_TIME + self.now
        } else {
            previous_start
        };
        let listed = ListedHost { phase, started_at };
        self.list.hosts[host] = Some(listed);
        self.report_hosts_to_checker();
        self.list.revision += 1;
        self.list_changes(&[setup::member(self.script, host, listed)]);
    }

    fn set_relay_stalled(&mut self, is_stalled: bool) {
        self.relay.is_stalled = is_stalled;
        for proxy in 0..self.proxies.len() {
            if self.uses_relay(proxy) && !self.proxies[proxy].is_stalled {
                let number = self.proxy_number(proxy);
                self.checker.proxy_stalled(self.now, number, is_stalled);
            }
        }
    }

    fn stall(&mut self, proxy: usize) {
        self.proxies[proxy].is_stalled = true;
        let number = self.proxy_number(proxy);
        self.checker.proxy_stalled(self.now, number, true);
    }

    /// Ends a proxy's stall: delivers the messages that were held back, and reopens streams that the director ended.
    fn resume(&mut self, proxy: usize) {
        self.proxies[proxy].is_stalled = false;
        let number = self.proxy_number(proxy);
        self.checker.proxy_stalled(self.now, number, false);
        let state = &mut self.proxies[proxy];
        let stream = state.discovery_stream;
        if std::mem::take(&mut state.has_unaccepted_response) {
            self.handle_stream_input(xds::Input::ResponseAccepted { stream });
        }
        for pending in std::mem::take(&mut self.proxies[proxy].undelivered) {
            self.schedule_after(0.0, pending);
        }
        let stream = self.proxies[proxy].discovery_stream;
        if !self.uses_relay(proxy) && !self.streams.proxies.contains_key(&stream) {
            self.schedule_after(0.0, Pending::ProxyReconnects(proxy));
        }
    }
}
