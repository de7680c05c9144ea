//! Converts the deployment's settings to the policy's settings, without changing any number.

use crate::deployment::{Category, DeploymentSettings, FamilyInfo, Rules};
use rushcourse_policy::interface::{
    AdmissionKind, ChannelSettings, FleetSettings, HostSettings, Idempotency, LoadSource,
    ProxySettings, RequestClass, RetryPolicy, Settings,
};

impl DeploymentSettings {
    /// Converts to the policy's settings. Unknown values of `effect`, `level-kind` and `source` become
    /// `NotIdempotent`, `Off` and `Unreported`.
    pub fn to_policy(&self) -> Settings {
        Settings {
            classes: self.request_classes(),
            fleet: self.fleet(),
            channel: channel(&self.family_info),
            hosts: self.hosts(),
            proxies: proxies(&self.family_info),
            report_interval: self.family_info.report_every_ms,
            load_source: load_source(&self.reporting.source),
            cross_zone_price: self.penalties.cross_zone,
            may_check_health: self.caps.may_probe,
            may_message_peers: self.caps.peer_messages,
            must_subscribe: self.registry_mode == "subscribe",
        }
    }

    fn request_classes(&self) -> Vec<RequestClass> {
        let info = &self.family_info;
        let flag = |flags: &[bool], class: usize| flags.get(class).copied().unwrap_or(false);
        self.categories
            .iter()
            .enumerate()
            .map(|(class, category)| RequestClass {
                target_latency: category.aim_ms,
                deadline: category.deadline_ms,
                value: category.worth,
                idempotency: idempotency(category),
                is_zone_bound: flag(&info.zone_bound, class),
                is_write: flag(&info.class_writes, class),
            })
            .collect()
    }

    fn fleet(&self) -> FleetSettings {
        FleetSettings {
            zones: self.zones.len(),
            own_zone: self.my_zone,
            is_zonal: self.family_info.zonal,
            own_index: self.my_number,
            directors: self.balancers,
            proxies: self.family_info.proxy_count,
        }
    }

    fn hosts(&self) -> HostSettings {
        let Rules {
            drain_grace_ms,
            removal_not_binding,
            start_capacity,
            cold_ms,
            fall_multiple,
            ..
        } = self.rules;
        HostSettings {
            drain_grace: drain_grace_ms,
            may_keep_unlisted: removal_not_binding,
            start_capacity,
            warm_up: cold_ms,
            overload_multiple: fall_multiple,
            has_listed_weights: self.weight_source != "off",
        }
    }
}

fn idempotency(category: &Category) -> Idempotency {
    match category.effect.as_str() {
        "free" => Idempotency::Idempotent,
        "guarded" => Idempotency::Keyed,
        _ => Idempotency::NotIdempotent,
    }
}

fn channel(info: &FamilyInfo) -> ChannelSettings {
    ChannelSettings {
        max_queued_lines: info.backlog,
        lines_per_second: info.push_rate,
        lines_per_message: info.per_message,
        max_messages: info.update_cap,
        message_window: info.counted_over_ms,
        mean_transit: info.late_ms,
        max_transit: info.transit_max_ms,
    }
}

fn proxies(info: &FamilyInfo) -> ProxySettings {
    ProxySettings {
        admission_kind: match info.level_kind.as_str() {
            "ratio" => AdmissionKind::Ratio,
            "rps" => AdmissionKind::Rate,
            _ => AdmissionKind::Off,
        },
        retry_policy: match info.base_mode {
            0 => RetryPolicy::Never,
            1 => RetryPolicy::OnceIfNotRun,
            2 => RetryPolicy::OnceAfterFailure,
            _ => RetryPolicy::TwiceAfterFailure,
        },
        ejection_failures: info.ejects,
    }
}

fn load_source(source: &str) -> LoadSource {
    match source {
        "inline" => LoadSource::Reports,
        "on_probe" => LoadSource::HealthChecks,
        _ => LoadSource::Unreported,
    }
}
