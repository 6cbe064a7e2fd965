//! Decoding of the settings object, which an instance is given as JSON at its start, on the simulator's wire
//! and in a sidecar's configuration alike. This module defines the keys of the JSON object.

use super::{
    DecodeError, DedupScope, DiscoveryMode, Idempotency, Limits, LoadReportSource, Prices, ScoreWeights,
};
use super::{RequestClass, Rules, Settings, Tenant, WeightSource};
use crate::ids::Micros;
use crate::interner::Interner;
use serde::Deserialize;

/// A decoded settings object: the settings, and the names behind their ids.
pub struct DecodedSettings {
    /// The settings.
    pub settings: Settings,
    /// Names of the classes, by id.
    pub classes: Vec<String>,
    /// Names of the tenants, by id.
    pub tenants: Vec<String>,
    /// Names of the zones, by id; endpoint lists may add further ones.
    pub zones: Interner,
    /// How long an endpoint keeps an idle connection; 0 if absent.
    pub idle_timeout: Micros,
}

/// Decodes a settings object.
pub fn decode(text: &str) -> Result<DecodedSettings, DecodeError> {
    let encoded: EncodedSettings = serde_json::from_str(text).map_err(DecodeError::Json)?;
    let mut zones = Interner::default();
    let classes = encoded.classes.iter().map(|class| class.name.clone()).collect();
    let tenants = encoded.tenants.iter().map(|tenant| tenant.name.clone()).collect();
    let idle_timeout = encoded.limits.idle_timeout_us;
    let settings = encoded.decode(&mut zones)?;
    Ok(DecodedSettings { settings, classes, tenants, zones, idle_timeout })
}

/// The JSON form of the settings object; fields with a default may be absent.
#[derive(Deserialize)]
struct EncodedSettings {
    #[serde(rename = "Balancers", default = "one_instance")]
    instances: u32,
    #[serde(rename = "Index", default)]
    index: u32,
    #[serde(rename = "Lanes")]
    classes: Vec<EncodedClass>,
    #[serde(rename = "Clients", default)]
    clients: EncodedClients,
    #[serde(rename = "CountedBy", default)]
    priority_unit: String,
    #[serde(rename = "Discovery", default)]
    discovery: String,
    #[serde(rename = "Goal", default)]
    goal: EncodedGoal,
    #[serde(rename = "Limits")]
    limits: EncodedLimits,
    #[serde(rename = "OverShareWorth", default)]
    over_quota_weight: f64,
    #[serde(rename = "Prices", default)]
    prices: EncodedPrices,
    #[serde(rename = "Report", default)]
    load_reports: EncodedLoadReports,
    #[serde(rename = "Rules")]
    rules: EncodedRules,
    #[serde(rename = "Tenants", default)]
    tenants: Vec<EncodedTenant>,
    #[serde(rename = "TickUs", default)]
    tick_us: Micros,
    #[serde(rename = "WeightSource", default)]
    weight_source: String,
    #[serde(rename = "Zone")]
    zone: Option<String>,
    #[serde(rename = "Zones", default)]
    zones: Vec<String>,
}

#[derive(Deserialize)]
struct EncodedClass {
    #[serde(rename = "Name")]
    name: String,
    #[serde(rename = "AimUs")]
    latency_objective_us: Micros,
    #[serde(rename = "AimStretch", default)]
    objective_per_work: f64,
    #[serde(rename = "DeadlineUs")]
    deadline_us: Micros,
    #[serde(rename = "Effect")]
    idempotency: String,
    #[serde(rename = "DedupScope")]
    dedup_scope: Option<String>,
    #[serde(rename = "KeyTtlUs", default)]
    key_ttl_us: Micros,
    #[serde(rename = "LateShare", default)]
    late_value_share: f64,
    #[serde(rename = "Streaming", default)]
    streaming: bool,
    #[serde(rename = "Worth", default = "unit_weight")]
    priority_weight: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct EncodedClients {
    #[serde(rename = "MarksRetry")]
    mark_retries: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct EncodedGoal {
    #[serde(rename = "Whole")]
    overall: f64,
    #[serde(rename = "WorstClass")]
    worst_class: f64,
    #[serde(rename = "WorstTenant")]
    worst_tenant: f64,
    #[serde(rename = "WorstWindow")]
    worst_window: f64,
}

#[derive(Deserialize)]
struct EncodedLimits {
    #[serde(rename = "DialTimeoutUs", default)]
    connect_timeout_us: Micros,
    #[serde(rename = "IdleCloseUs", default)]
    idle_timeout_us: Micros,
    #[serde(rename = "MaxAttempts")]
    max_attempts: u32,
    #[serde(rename = "MaxRetryAfterUs", default)]
    max_retry_after_us: Micros,
    #[serde(rename = "MayCancel", default)]
    may_cancel: bool,
    #[serde(rename = "MayDuplicate", default)]
    may_hedge: bool,
    #[serde(rename = "Peers", default)]
    may_gossip: bool,
    #[serde(rename = "Probes", default)]
    may_health_check: bool,
    #[serde(rename = "RetryAfter", default)]
    sends_retry_after: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct EncodedPrices {
    #[serde(rename = "CrossZone")]
    cross_zone: f64,
    #[serde(rename = "Handshake")]
    handshake: f64,
    #[serde(rename = "LateFail")]
    late_fail: f64,
    #[serde(rename = "Probe")]
    health_check: f64,
    #[serde(rename = "Waste")]
    waste: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct EncodedLoadReports {
    #[serde(rename = "Source")]
    source: String,
}

#[derive(Deserialize)]
struct EncodedRules {
    #[serde(rename = "AnswerSlackUs", default)]
    answer_grace_us: Micros,
    #[serde(rename = "AskWithinUs", default)]
    max_poll_interval_us: Micros,
    #[serde(rename = "ColdShare")]
    initial_capacity_share: f64,
    #[serde(rename = "OverloadFactor")]
    overload_factor: f64,
    #[serde(rename = "TipAfterUs")]
    overload_collapse_after_us: Micros,
    #[serde(rename = "WarmWithinUs")]
    slow_start_duration_us: Micros,
}

#[derive(Deserialize)]
struct EncodedTenant {
    #[serde(rename = "Name")]
    name: String,
    #[serde(rename = "QuotaPerS", default)]
    quota_per_s: f64,
    #[serde(rename = "Share", default)]
    capacity_share: f64,
}

fn one_instance() -> u32 {
    1
}

fn unit_weight() -> f64 {
    1.0
}

impl EncodedSettings {
    fn decode(self, zones: &mut Interner) -> Result<Settings, DecodeError> {
        for zone in &self.zones {
            zones.intern(zone);
        }
        Ok(Settings {
            classes: self.classes.into_iter().map(EncodedClass::decode).collect::<Result<_, _>>()?,
            tenants: self.tenants.iter().map(EncodedTenant::decode).collect(),
            instances: self.instances,
            index: self.index,
            zone: self.zone.map(|zone| zones.intern(&zone)),
            discovery: match self.discovery.as_str() {
                "on_request" => DiscoveryMode::Polled,
                _ => DiscoveryMode::Pushed,
            },
            weights: match self.weight_source.as_str() {
                "nominal" | "rough" => WeightSource::Nominal,
                "live" => WeightSource::Live,
                _ => WeightSource::Unweighted,
            },
            load_reports: match self.load_reports.source.as_str() {
                "piggyback" => LoadReportSource::Piggybacked,
                "pull" => LoadReportSource::HealthCheck,
                _ => LoadReportSource::Unavailable,
            },
            limits: self.limits.decode(),
            rules: self.rules.decode(),
            prices: self.prices.decode(),
            goal: self.goal.decode(),
            over_quota_weight: self.over_quota_weight,
            priority_by_work: self.priority_unit == "work",
            clients_mark_retries: self.clients.mark_retries,
            tick: self.tick_us,
        })
    }
}

impl EncodedClass {
    fn decode(self) -> Result<RequestClass, DecodeError> {
        let scope = match self.dedup_scope.as_deref() {
            Some("zone") => DedupScope::Zone,
            Some("cell") => DedupScope::Cell,
            _ => DedupScope::All,
        };
        let idempotency = match self.idempotency.as_str() {
            "pure" => Idempotency::Idempotent,
            "token" => Idempotency::WithKey { scope, ttl: self.key_ttl_us },
            "side_effect" => Idempotency::NonIdempotent,
            _ => return Err(DecodeError::UnknownIdempotency { class: self.name, effect: self.idempotency }),
        };
        Ok(RequestClass {
            latency_objective: self.latency_objective_us,
            objective_per_work: self.objective_per_work,
            deadline: self.deadline_us,
            late_value_share: self.late_value_share,
            priority_weight: self.priority_weight,
            idempotency,
            streaming: self.streaming,
        })
    }
}

impl EncodedTenant {
    fn decode(&self) -> Tenant {
        Tenant { quota_per_s: self.quota_per_s, capacity_share: self.capacity_share }
    }
}

impl EncodedLimits {
    fn decode(self) -> Limits {
        Limits {
            max_attempts: self.max_attempts,
            max_retry_after: self.max_retry_after_us,
            sends_retry_after: self.sends_retry_after,
            may_cancel: self.may_cancel,
            may_hedge: self.may_hedge,
            may_health_check: self.may_health_check,
            may_gossip: self.may_gossip,
            connect_timeout: self.connect_timeout_us,
        }
    }
}

impl EncodedRules {
    fn decode(self) -> Rules {
        Rules {
            answer_grace: self.answer_grace_us,
            max_poll_interval: self.max_poll_interval_us,
            initial_capacity_share: self.initial_capacity_share,
            slow_start_duration: self.slow_start_duration_us,
            overload_factor: self.overload_factor,
            overload_collapse_after: self.overload_collapse_after_us,
        }
    }
}

impl EncodedPrices {
    fn decode(self) -> Prices {
        Prices {
            cross_zone: self.cross_zone,
            waste: self.waste,
            late_or_failed: self.late_fail,
            health_check: self.health_check,
            handshake: self.handshake,
        }
    }
}

impl EncodedGoal {
    fn decode(self) -> ScoreWeights {
        ScoreWeights {
            overall: self.overall,
            worst_class: self.worst_class,
            worst_tenant: self.worst_tenant,
            worst_window: self.worst_window,
        }
    }
}
