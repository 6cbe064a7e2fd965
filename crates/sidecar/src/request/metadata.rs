//! The metadata of a request, parsed from its headers into the terms of the balancer. The protocol's names of request
//! headers are mapped here.

use super::head::RequestHead;
use crate::body::Framing;
use crate::config::Config;
use crate::outgoing_request::TIME_LEFT;
use hyper::Method;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use lotusmoor_balancer::{Idempotency, Micros};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Maximum length of a correlation id, in bytes.
const MAX_ID_BYTES: usize = 256;
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;

const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
const SERVICE_CLASS: HeaderName = HeaderName::from_static("x-service-class");
const TENANT: HeaderName = HeaderName::from_static("x-account");
const CLIENT_RETRY: HeaderName = HeaderName::from_static("x-repeat");
const EXPECTED_WORK: HeaderName = HeaderName::from_static("x-weight-hint");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A class of requests.
struct TrafficClass {
    name: String,
    idempotency: Idempotency,
    deadline: Micros,
}

/// The configured classes and tenants, by number.
pub struct TrafficClasses {
    classes: Vec<TrafficClass>,
    tenants: Vec<String>,
}

impl TrafficClasses {
    /// Takes the classes and tenants of a configuration.
    pub fn new(config: &Config) -> Self {
        let decoded = &config.decoded_settings;
        let classes = decoded.classes.iter().zip(&decoded.settings.classes);
        let classes = classes.map(|(name, class)| TrafficClass {
            name: name.clone(),
            idempotency: class.idempotency,
            deadline: class.deadline,
        });
        Self { classes: classes.collect(), tenants: decoded.tenants.clone() }
    }
}

/// The metadata in the headers of a request.
pub struct RequestMetadata {
    /// The number of its class.
    pub class: usize,
    /// The number of its tenant.
    pub tenant: Option<usize>,
    /// The key by which requests are partitioned, from the cookie `obj`.
    pub partition_key: Option<u64>,
    /// How long its client waits, limited to the deadline of its class: a client that asks for an hour must not keep a
    /// request open for one.
    pub time_left: Micros,
    /// The client's estimate of the work, if it gives one.
    pub expected_work: Option<Micros>,
    /// Whether the client has sent the request before.
    pub is_client_retry: bool,
    /// Its correlation id.
    pub id: Box<[u8]>,
}

impl RequestMetadata {
    /// Parses the headers; `None` if the request is invalid.
    pub fn parse(traffic_classes: &TrafficClasses, head: &RequestHead) -> Option<Self> {
        let headers = &head.headers;
        let class_name = single_text(headers, &SERVICE_CLASS)?;
        let number = traffic_classes.classes.iter().position(|class| class.name == class_name)?;
        let class = &traffic_classes.classes[number];
        let id = single_text(headers, &CORRELATION_ID)?;
        if !fits_class(head, class.idempotency) || id.is_empty() || id.len() > MAX_ID_BYTES {
            return None;
        }
        let tenant = single_text(headers, &TENANT);
        let work = single_text(headers, &EXPECTED_WORK).and_then(|work| work.parse().ok());
        Some(Self {
            class: number,
            tenant: tenant.and_then(|tenant| traffic_classes.tenants.iter().position(|name| name == tenant)),
            partition_key: partition_key(headers),
            time_left: parse_time(single_text(headers, &TIME_LEFT)?)?.min(class.deadline),
            expected_work: work.filter(|work: &Micros| *work > 0),
            is_client_retry: single_text(headers, &CLIENT_RETRY) == Some("1"),
            id: id.as_bytes().into(),
        })
    }
}

/// Whether a request has the method, the body and the idempotency key that its class requires.
fn fits_class(head: &RequestHead, idempotency: Idempotency) -> bool {
    match idempotency {
        Idempotency::Idempotent => head.method == Method::GET && head.body == Framing::Sized(0),
        Idempotency::WithKey { .. } => {
            let key = single_value(&head.headers, &IDEMPOTENCY_KEY);
            head.method == Method::POST && key.is_some_and(|key| !key.is_empty())
        }
        Idempotency::NonIdempotent => head.method == Method::POST,
    }
}

/// The value of a header; `None` if there are several, as they may contradict each other.
fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

fn single_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    single_value(headers, name)?.to_str().ok().map(str::trim)
}

/// Parses a time such as `480m` (milliseconds) or `480000u` (microseconds).
fn parse_time(text: &str) -> Option<Micros> {
    let (number, micros_per_unit) = match text.strip_suffix('m') {
        Some(number) => (number, MICROS_PER_MILLI),
        None => (text.strip_suffix('u')?, 1.0),
    };
    if !number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.') {
        return None;
    }
    let number: f64 = number.parse().ok()?;
    // The cast saturates.
    Some((number * micros_per_unit) as Micros)
}

/// The partition key of a request: the value of the cookie `obj` if it is a hexadecimal number, and a hash of any other
/// value.
fn partition_key(headers: &HeaderMap) -> Option<u64> {
    let cookies = headers.get_all(header::COOKIE).iter().filter_map(|value| value.to_str().ok());
    let mut pairs = cookies.flat_map(|cookies| cookies.split(';'));
    let object = pairs.find_map(|pair| pair.trim().strip_prefix("obj="))?;
    Some(u64::from_str_radix(object, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        object.hash(&mut hasher);
        hasher.finish()
    }))
}

#[cfg(test)]
mod tests;
