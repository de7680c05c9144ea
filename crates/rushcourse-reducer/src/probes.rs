//! Probes of hosts: few in flight, few that wait, none where the settings forbid them.

use crate::desk::Desk;
use crate::{Effect, Weight};
use rushcourse_core::interface::{Event, HostId, LoadSource, Ms, Settings};
use rushcourse_protocol::load;
use std::collections::{BTreeSet, VecDeque};

const IN_FLIGHT_MOST: usize = 8;
const WAITING_MOST: usize = 64;
/// ms after which a probe is given up.
const WITHIN: Ms = 500.0;

#[derive(Default)]
pub struct Probes {
    in_flight: BTreeSet<HostId>,
    waiting: VecDeque<(HostId, String)>,
}

impl Probes {
    /// The module wants a host probed; one that can't be is answered as silent.
    pub fn want(&mut self, desk: &mut Desk, s: &Settings, host: HostId, address: Option<&String>) {
        let doubled = self.in_flight.contains(&host) || self.waiting.iter().any(|(h, _)| *h == host);
        match address {
            Some(address) if s.may_probe && !doubled && self.waiting.len() < WAITING_MOST => {
                self.waiting.push_back((host, address.clone()));
            }
            _ => {
                desk.counters.add("probes_not_sent", 1);
                desk.note(Weight::Warning, "probe", || format!("{host} is not probed"));
                desk.event(Event::Probed { host, took: 0.0, answered: false, load: Default::default() });
            }
        }
        self.advance(desk, s);
    }

    pub fn done(&mut self, desk: &mut Desk, s: &Settings, host: HostId, took: Ms, ok: bool, body: &[u8]) {
        if self.in_flight.remove(&host) {
            desk.event(Event::Probed { host, took, answered: ok, load: load::text(body) });
        }
        self.advance(desk, s);
    }

    fn advance(&mut self, desk: &mut Desk, s: &Settings) {
        let path = if s.load_source == LoadSource::Nowhere { "/health" } else { "/status/load" };
        while self.in_flight.len() < IN_FLIGHT_MOST {
            let Some((host, address)) = self.waiting.pop_front() else { return };
            self.in_flight.insert(host.clone());
            desk.counters.add("probes_sent", 1);
            desk.ask(Effect::Probe { host, address, path, within: WITHIN });
        }
    }
}
