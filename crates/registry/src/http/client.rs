//! Calls over HTTP: of one replica to another, and of the command line.

use crate::raft::{CallError, Rpc, Target, Transport};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Longest answer that is read.
const LONGEST: usize = 64 << 20;
/// An idle connection is kept for so long.
const IDLE: Duration = Duration::from_secs(20);

/// Why a call failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ClientError {
    /// The address can't be meant, or nobody is there: it did not go out.
    #[error("{address}: {what}")]
    Unreached {
        /// Whom.
        address: String,
        /// What the system says.
        what: String,
    },
    /// It went out, and no answer came.
    #[error("{address}: {what}")]
    Unanswered {
        /// Whom.
        address: String,
        /// What went wrong.
        what: String,
    },
}

/// Makes calls over kept connections.
#[derive(Clone)]
pub struct Client(Pool<HttpConnector, Full<Bytes>>);

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        let mut pool = Pool::builder(TokioExecutor::new());
        pool.pool_idle_timeout(IDLE).pool_timer(TokioTimer::new());
        // A call that may have run is not sent twice by the pool itself.
        Self(pool.retry_canceled_requests(false).build(connector))
    }
}

impl Client {
    /// Makes a call; gives status, `Retry-After` and body.
    pub async fn call(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: Vec<u8>,
        patience: Duration,
    ) -> Result<(StatusCode, Option<f64>, Bytes), ClientError> {
        let unreached = |what: String| ClientError::Unreached { address: address.to_owned(), what };
        let unanswered = |what: String| ClientError::Unanswered { address: address.to_owned(), what };
        let request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        let request = request.header(HOST, address).header(CONTENT_TYPE, "application/json");
        let request = request.body(Full::new(Bytes::from(body))).map_err(|e| unreached(e.to_string()))?;
        let exchange = async {
            let response = self.0.request(request).await.map_err(|e| {
                let what = std::error::Error::source(&e).map_or_else(|| e.to_string(), |s| s.to_string());
                if e.is_connect() { unreached(what) } else { unanswered(what) }
            })?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, LONGEST).collect().await;
            let body = body.map_err(|e| unanswered(e.to_string()))?.to_bytes();
            let told =
                head.headers.get(hyper::header::RETRY_AFTER).and_then(|v| v.to_str().ok()?.parse().ok());
            Ok((head.status, told, body))
        };
        timeout(patience, exchange).await.unwrap_or_else(|_| Err(unanswered("no answer in time".into())))
    }
}

/// Carries calls between replicas over HTTP.
#[derive(Clone, Default)]
pub struct Http {
    client: Client,
    /// Where others are reached, by number, where that is not the address that they give.
    ways: Arc<BTreeMap<u64, String>>,
}

impl Http {
    /// With other ways to some replicas than the addresses that they give.
    pub fn by(ways: BTreeMap<u64, String>) -> Self {
        Self { client: Client::default(), ways: Arc::new(ways) }
    }
}

impl Transport for Http {
    async fn call(
        &self,
        to: &Target,
        rpc: Rpc,
        body: Vec<u8>,
        patience: Duration,
    ) -> Result<Vec<u8>, CallError> {
        let path = format!("/peer/{}", rpc.name());
        let at = self.ways.get(&to.id).unwrap_or(&to.address);
        match self.client.call(Method::POST, at, &path, body, patience).await {
            Ok((StatusCode::OK, _, answer)) => Ok(answer.to_vec()),
            Ok((status, _, answer)) => {
                Err(CallError::TurnedDown(format!("{status}: {}", String::from_utf8_lossy(&answer))))
            }
            Err(error @ ClientError::Unreached { .. }) => Err(CallError::Unreached(error.to_string())),
            Err(error @ ClientError::Unanswered { .. }) => Err(CallError::Unanswered(error.to_string())),
        }
    }
}
