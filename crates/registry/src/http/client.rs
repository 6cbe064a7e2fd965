//! HTTP client, for calls between replicas and from the command line.

use crate::raft::{CallError, Rpc, Target, Transport};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST, RETRY_AFTER};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Maximum size of a response body.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Cause of a failed call.
type Cause = Box<dyn Error + Send + Sync>;

/// Why a call failed; the variants tell whether it may have taken effect.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The address is invalid or can't be reached: nothing was sent.
    #[error("{address}: {source}")]
    NotSent {
        /// The address.
        address: String,
        /// The cause.
        source: Cause,
    },
    /// The request was sent, but no complete response was received: it may have taken effect.
    #[error("{address}: {source}")]
    NoResponse {
        /// The address.
        address: String,
        /// The cause.
        source: Cause,
    },
}

/// A failed request. It displays its cause, as hyper's own text names only the stage at which the request failed.
#[derive(Debug)]
struct RequestError(hyper_util::client::legacy::Error);

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.source() {
            Some(cause) => fmt::Display::fmt(cause, f),
            None => fmt::Display::fmt(&self.0, f),
        }
    }
}

impl Error for RequestError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        self.0.source()?.source()
    }
}

/// HTTP client with a connection pool.
#[derive(Clone)]
pub struct Client(Pool<HttpConnector, Full<Bytes>>);

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let mut pool = Pool::builder(TokioExecutor::new());
        pool.pool_idle_timeout(IDLE_TIMEOUT).pool_timer(TokioTimer::new());
        // The pool must not retry a request that the server may have executed.
        Self(pool.retry_canceled_requests(false).build(connector))
    }
}

impl Client {
    /// Sends a request; returns the status, `Retry-After` in seconds, and the body of the response.
    pub async fn call(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: Vec<u8>,
        call_timeout: Duration,
    ) -> Result<(StatusCode, Option<f64>, Bytes), ClientError> {
        let not_sent = |source: Cause| ClientError::NotSent { address: address.to_owned(), source };
        let no_response = |source: Cause| ClientError::NoResponse { address: address.to_owned(), source };
        let request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        let request = request.header(HOST, address).header(CONTENT_TYPE, "application/json");
        let request = request.body(Full::new(Bytes::from(body))).map_err(|e| not_sent(e.into()))?;
        let exchange = async {
            let response = self.0.request(request).await.map_err(|error| {
                let is_connect = error.is_connect();
                let cause = RequestError(error).into();
                if is_connect { not_sent(cause) } else { no_response(cause) }
            })?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
            let body = body.map_err(no_response)?.to_bytes();
            let retry_after = head.headers.get(RETRY_AFTER).and_then(|v| v.to_str().ok()?.parse().ok());
            Ok((head.status, retry_after, body))
        };
        let result = timeout(call_timeout, exchange).await;
        result.unwrap_or_else(|_| Err(no_response("timed out".into())))
    }
}

/// Transport for calls between replicas over HTTP.
#[derive(Clone, Default)]
pub struct HttpTransport {
    client: Client,
    /// Addresses of replicas that are not reached at their address in the membership, by ID.
    address_overrides: Arc<BTreeMap<u64, String>>,
}

impl HttpTransport {
    /// Creates a transport that reaches some replicas, by ID, at other addresses than those in the membership.
    pub fn with_address_overrides(address_overrides: BTreeMap<u64, String>) -> Self {
        Self { client: Client::default(), address_overrides: Arc::new(address_overrides) }
    }
}

impl Transport for HttpTransport {
    async fn call(
        &self,
        to: &Target,
        rpc: Rpc,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Vec<u8>, CallError> {
        let path = format!("/peer/{}", rpc.name());
        let address = self.address_overrides.get(&to.id).unwrap_or(&to.address);
        match self.client.call(Method::POST, address, &path, body, timeout).await {
            Ok((StatusCode::OK, _, response)) => Ok(response.to_vec()),
            Ok((status, _, response)) => {
                let message = format!("{status}: {}", String::from_utf8_lossy(&response));
                Err(CallError::Rejected(message.into()))
            }
            Err(error @ ClientError::NotSent { .. }) => Err(CallError::NotSent(error.into())),
            Err(error @ ClientError::NoResponse { .. }) => Err(CallError::NoValidResponse(error.into())),
        }
    }
}
