//! Parses the head of a request. Ambiguous input is rejected, as the next parser of the request may interpret it
//! differently (request smuggling, RFC 9112 section 11.2).

use crate::body::{Framing, MAX_BODY_BYTES};
use crate::resource_limits::MAX_HEAD_BYTES;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, StatusCode, Uri};

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// The head of a request.
#[derive(Debug)]
pub struct RequestHead {
    /// The method.
    pub method: Method,
    /// Path and query, as they are sent to endpoints.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// How the body that follows is framed.
    pub body: Framing,
    /// Whether the client speaks HTTP/1.0, which has no chunked encoding.
    pub is_http_1_0: bool,
    /// Whether the connection may carry a further request.
    pub keep_alive: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

impl RequestHead {
    /// Parses a head and returns it with its length in bytes; `None` while it is incomplete. Fails with the status to
    /// respond with if it is invalid.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, StatusCode> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut fields);
        let length = match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
            Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => {
                return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
            }
            Err(_) => return Err(StatusCode::BAD_REQUEST),
        };
        let method = Method::from_bytes(parsed.method.unwrap_or("").as_bytes());
        let method = method.map_err(|_| StatusCode::BAD_REQUEST)?;
        let uri = Uri::try_from(parsed.path.unwrap_or("")).map_err(|_| StatusCode::BAD_REQUEST)?;
        let headers = header_map(parsed.headers)?;
        let is_http_1_0 = parsed.version == Some(0);
        let body = framing(&headers, is_http_1_0)?;
        let head = Self {
            method,
            uri: origin_form(&uri),
            body,
            is_http_1_0,
            keep_alive: keep_alive(&headers, is_http_1_0),
            expects_continue: !is_http_1_0 && expects_continue(&headers),
            headers,
        };
        Ok(Some((head, length)))
    }
}

fn header_map(fields: &[httparse::Header<'_>]) -> Result<HeaderMap, StatusCode> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes()).map_err(|_| StatusCode::BAD_REQUEST)?;
        let value = HeaderValue::from_bytes(field.value).map_err(|_| StatusCode::BAD_REQUEST)?;
        headers.append(name, value);
    }
    Ok(headers)
}

/// Path and query alone, without the scheme and authority that a request to a proxy may have.
fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query().and_then(|path| Uri::try_from(path.as_str()).ok()).unwrap_or_default()
}

fn keep_alive(headers: &HeaderMap, is_http_1_0: bool) -> bool {
    let has_option = |option: &str| {
        let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
        values.flat_map(|value| value.split(',')).any(|value| value.trim().eq_ignore_ascii_case(option))
    };
    !has_option("close") && (!is_http_1_0 || has_option("keep-alive"))
}

fn expects_continue(headers: &HeaderMap) -> bool {
    let expectation = headers.get(header::EXPECT);
    expectation.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// How the body is framed: by one plain `Content-Length`, by chunked encoding, or there is none. A head with two
/// lengths, with a length beside an encoding, or with an unknown encoding is rejected, as its body may hide a further
/// request.
fn framing(headers: &HeaderMap, is_http_1_0: bool) -> Result<Framing, StatusCode> {
    let mut encodings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    if let Some(encoding) = encodings.next() {
        let chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked") && encodings.next().is_none();
        let unambiguous = chunked && !is_http_1_0 && lengths.next().is_none();
        return if unambiguous { Ok(Framing::Chunked) } else { Err(StatusCode::BAD_REQUEST) };
    }
    let Some(length) = lengths.next() else { return Ok(Framing::Sized(0)) };
    let digits = length.as_bytes();
    if lengths.next().is_some() || digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(StatusCode::BAD_REQUEST);
    }
    // Digits that fail to parse are a number that is too large.
    let length = length.to_str().ok().and_then(|digits| digits.parse().ok());
    let accepted = length.filter(|length| *length <= MAX_BODY_BYTES);
    accepted.map(Framing::Sized).ok_or(StatusCode::PAYLOAD_TOO_LARGE)
}

#[cfg(test)]
mod tests;
