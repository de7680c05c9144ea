//! Probes of hosts: few in flight, few that wait, none where the settings forbid them.

use crate::boundary::{Effect, Weight};
use crate::step_context::StepContext;
use rushcourse_director_protocol::load;
use rushcourse_policy::interface::{Event, HostId, LoadSource, Ms, Settings};
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
    pub fn want(
        &mut self,
        context: &mut StepContext,
        s: &Settings,
        host: HostId,
        address: Option<&String>,
    ) {
        let doubled =
            self.in_flight.contains(&host) || self.waiting.iter().any(|(h, _)| *h == host);
        match address {
            Some(address)
                if s.may_check_health && !doubled && self.waiting.len() < WAITING_MOST =>
            {
                self.waiting.push_back((host, address.clone()));
            }
            _ => {
                context.counters.add("probes_not_sent", 1);
                context.note(Weight::Warning, "probe", || format!("{host} is not probed"));
                context.event(Event::HealthChecked {
                    host,
                    elapsed: 0.0,
                    is_answered: false,
                    load: Default::default(),
                });
            }
        }
        self.advance(context, s);
    }

    pub fn done(
        &mut self,
        context: &mut StepContext,
        s: &Settings,
        host: HostId,
        took: Ms,
        ok: bool,
        body: &[u8],
    ) {
        if self.in_flight.remove(&host) {
            context.event(Event::HealthChecked {
                host,
                elapsed: took,
                is_answered: ok,
                load: load::text(body),
            });
        }
        self.advance(context, s);
    }

    fn advance(&mut self, context: &mut StepContext, s: &Settings) {
        let path = if s.load_source == LoadSource::Nowhere {
            "/health"
        } else {
            "/status/load"
        };
        while self.in_flight.len() < IN_FLIGHT_MOST {
            let Some((host, address)) = self.waiting.pop_front() else {
                return;
            };
            self.in_flight.insert(host.clone());
            context.counters.add("probes_sent", 1);
            context.ask(Effect::Probe {
                host,
                address,
                path,
                within: WITHIN,
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn settings(source: LoadSource, may_check_health: bool) -> Settings {
        Settings {
            load_source: source,
            may_check_health,
            ..Settings::default()
        }
    }

    fn sent(context: &mut StepContext) -> Vec<(String, String, &'static str)> {
        let sent = std::mem::take(&mut context.effects)
            .into_iter()
            .filter_map(|e| match e {
                Effect::Probe {
                    host,
                    address,
                    path,
                    ..
                } => Some((host.to_string(), address, path)),
                _ => None,
            });
        sent.collect()
    }

    fn answers(context: &mut StepContext) -> Vec<(bool, Option<f64>)> {
        let answered = std::mem::take(&mut context.events)
            .into_iter()
            .filter_map(|e| match e {
                Event::HealthChecked {
                    is_answered: answered,
                    load,
                    ..
                } => Some((answered, load.cpu_utilization)),
                _ => None,
            });
        answered.collect()
    }

    #[test]
    fn few_are_in_flight_few_wait_and_the_rest_are_answered_as_silent() {
        let (mut probes, mut context, s) = (
            Probes::default(),
            StepContext::default(),
            settings(LoadSource::Reports, true),
        );
        let address = "127.0.0.1:1".to_string();
        for k in 0..200 {
            probes.want(&mut context, &s, format!("h{k}").into(), Some(&address));
        }
        assert_eq!(sent(&mut context).len(), IN_FLIGHT_MOST);
        assert_eq!(
            answers(&mut context).len(),
            200 - IN_FLIGHT_MOST - WAITING_MOST
        );
        probes.done(&mut context, &s, "h3".into(), 12.0, true, b"TEXT util=0.5");
        assert_eq!(answers(&mut context), [(true, Some(0.5))]);
        assert_eq!(
            sent(&mut context),
            [("h8".to_string(), address, "/status/load")],
            "the next one follows"
        );
        probes.done(&mut context, &s, "h3".into(), 12.0, true, b"");
        assert!(
            answers(&mut context).is_empty(),
            "an answer that nobody waits for is none"
        );
    }

    #[test]
    fn a_host_is_asked_once_at_a_time_and_only_where_it_is_allowed_and_known() {
        let address = "127.0.0.1:1".to_string();
        let (mut probes, mut context) = (Probes::default(), StepContext::default());
        let s = settings(LoadSource::Nowhere, true);
        probes.want(&mut context, &s, "h".into(), Some(&address));
        probes.want(&mut context, &s, "h".into(), Some(&address));
        probes.want(&mut context, &s, "unknown".into(), None);
        assert_eq!(
            sent(&mut context),
            [("h".to_string(), address.clone(), "/health")]
        );
        assert_eq!(answers(&mut context), [(false, None); 2]);
        probes.want(
            &mut context,
            &settings(LoadSource::Reports, false),
            "other".into(),
            Some(&address),
        );
        assert!(sent(&mut context).is_empty());
    }

    #[test]
    fn a_host_that_refuses_or_reports_oddly_is_told_as_such() {
        let (mut probes, mut context, s) = (
            Probes::default(),
            StepContext::default(),
            settings(LoadSource::Reports, true),
        );
        let address = "127.0.0.1:1".to_string();
        for (ok, body) in [
            (false, &b"TEXT util=0.1"[..]),
            (true, b"\xff\xfe"),
            (true, b"TEXT util=much"),
        ] {
            probes.want(&mut context, &s, "h".into(), Some(&address));
            probes.done(&mut context, &s, "h".into(), 5.0, ok, body);
        }
        let answered = answers(&mut context);
        assert_eq!(
            answered.iter().map(|t| t.0).collect::<Vec<_>>(),
            [false, true, true]
        );
        assert_eq!((answered[1].1, answered[2].1), (None, None));
    }
}
