//! A request as its client sends it: its head, the metadata in its headers, and the headers that are forwarded.

mod head;
mod metadata;

pub use head::RequestHead;
pub use metadata::{RequestMetadata, TrafficClasses};

use hyper::header::{self, HeaderMap, HeaderName};

/// Hop-by-hop headers, which belong to one connection (RFC 9110 section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// The headers that are forwarded: without those that belong to one connection or frame one message.
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let options = values.flat_map(|value| value.split(','));
    let named: Vec<HeaderName> =
        options.filter_map(|option| HeaderName::from_bytes(option.trim().as_bytes()).ok()).collect();
    for name in HOP_BY_HOP.iter().chain(&named).chain([&header::CONTENT_LENGTH, &header::EXPECT]) {
        headers.remove(name);
    }
    headers
}
