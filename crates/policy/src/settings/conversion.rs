//! Converts the settings of a deployment to those of a balancer: names become indexes, and
//! milliseconds become microseconds.

use super::{
    CountedBy, Effect, Facts, Group, How, PolicyLimits, Prices, RegistryMode, Safety, ScoringMix,
    Service, span, stable_hash,
};
use crate::interface;

impl Facts {
    /// Returns a hash of the names that the numbers of classes, zones and machine types stand for.
    ///
    /// The hashes of two settings are equal exactly when both list the same names in the same order.
    pub fn numbering_hash(&self) -> u64 {
        let classes: Vec<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        stable_hash(&format!("{classes:?} {:?} {:?}", self.zones, self.machine_types))
    }

    /// Returns the settings of a balancer.
    pub fn settings(&self) -> interface::Settings {
        interface::Settings {
            classes: self.services.iter().map(Service::class).collect(),
            tenants: self.balancer_tenants(),
            balancers: self.balancers,
            position: self.position,
            zones: self.zones.len() as u32,
            zone: self.zone,
            tick: span(self.tick),
            polls_list: self.registry_mode == RegistryMode::Subscribe,
            limits: self.policy_limits.limits(),
            rules: self.safety.rules(),
            prices: self.prices.prices(),
            mix: self.scoring_mix.mix(),
            over_quota_weight: self.over_quota_weight,
            counts_by_work: self.counted_by == CountedBy::Work,
            marks_retry: self.client_habits.marks_retry,
            reports: self.stats.how.reports(),
            bars_classes: false,
            numbering_hash: self.numbering_hash(),
        }
    }

    fn balancer_tenants(&self) -> Vec<interface::Tenant> {
        self.tenants
            .iter()
            .map(|tenant| interface::Tenant { quota_rps: tenant.quota_rps, share: tenant.share })
            .collect()
    }
}

impl Service {
    fn class(&self) -> interface::Class {
        interface::Class {
            latency_objective: span(self.latency_objective),
            deadline: span(self.deadline),
            priority_weight: self.priority_weight,
            late_priority_weight: self.late_priority_weight,
            effect: self.effect.effect(),
            group: self.group.group(),
            window: span(self.window),
            objective_stretch: self.objective_stretch,
            streaming: self.streaming,
            in_order: self.in_order,
            zones: self.zones_allowed.clone(),
            machine_types: self.bound_to.clone(),
        }
    }
}

impl Effect {
    fn effect(&self) -> interface::Effect {
        match self {
            Self::Retryable => interface::Effect::Safe,
            Self::Dedup => interface::Effect::Keyed,
            Self::Fragile => interface::Effect::Unsafe,
        }
    }
}

impl Group {
    fn group(&self) -> interface::Group {
        match self {
            Self::All => interface::Group::All,
            Self::Zone => interface::Group::Zone,
            Self::Cell => interface::Group::Cell,
        }
    }
}

impl PolicyLimits {
    fn limits(&self) -> interface::Limits {
        interface::Limits {
            max_attempts: self.max_attempts,
            hedging: self.hedging,
            cancel: self.cancelling,
            probes: self.probes,
            retry_after: self.retry_after,
            max_retry_after: span(self.max_retry_after),
            connect_timeout: span(self.connect_timeout),
            keepalive: span(self.keepalive),
            streams_per_conn: self.streams_per_conn,
        }
    }
}

impl Safety {
    fn rules(&self) -> interface::Rules {
        interface::Rules {
            warm_up_initial_share: self.warm_up_initial_share,
            warm_up: span(self.warm_up),
            overload_multiple: self.overload_multiple,
            overload_window: span(self.overload_window),
            drain_grace: span(self.drain_grace),
            answer_slack: span(self.answer_slack),
            list_poll_interval: span(self.list_poll_interval),
            idle_close_limit: span(self.idle_close_limit),
            ordering_key_rest: span(self.ordering_key_rest),
        }
    }
}

impl Prices {
    fn prices(&self) -> interface::Prices {
        interface::Prices {
            cross_zone: self.cross_zone,
            waste: self.waste,
            handshake: self.handshake,
            probe: self.probe,
            late_failure: self.late_failure,
        }
    }
}

impl ScoringMix {
    fn mix(&self) -> interface::ScoringMix {
        interface::ScoringMix {
            whole: self.whole,
            worst_window: self.worst_window,
            worst_class: self.worst_class,
            worst_tenant: self.worst_tenant,
        }
    }
}

impl How {
    fn reports(&self) -> interface::Reports {
        match self {
            Self::Piggyback => interface::Reports::Answers,
            Self::Pull => interface::Reports::Probes,
            Self::Silent => interface::Reports::None,
        }
    }
}
