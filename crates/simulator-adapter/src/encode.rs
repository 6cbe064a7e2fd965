//! Encodes actions as messages. Apart from the decoder, this is the only module that knows the names on the wire.

use base64::{Engine, engine::general_purpose::STANDARD};
use lotusmoor_balancer::{Action, Interner};
use std::fmt::{self, Write as _};

/// The destination of a message to all peers.
const ALL_PEERS: i64 = -1;

/// Appends the message for an action of the instance to the reply.
pub(crate) fn action(
    instance: u64,
    action: &Action,
    endpoints: &Interner,
    reply: &mut String,
) -> fmt::Result {
    let name = |endpoint: &usize| endpoints.name(*endpoint);
    let i = instance;
    match action {
        Action::Send { request, endpoint, timeout, .. } => {
            let endpoint = name(endpoint);
            writeln!(reply, "hand_off I={i} Ticket={request} Endpoint={endpoint} TimeoutUs={timeout}")
        }
        Action::Reject { request, retry_after } => {
            writeln!(reply, "not_now I={i} Ticket={request} HoldOffUs={retry_after}")
        }
        Action::Fail(request) => writeln!(reply, "error I={i} Ticket={request}"),
        Action::Cancel { request, attempt } => {
            writeln!(reply, "recall I={i} Ticket={request} Go={attempt}")
        }
        Action::HealthCheck(endpoint) => {
            writeln!(reply, "health_check I={i} Endpoint={}", name(endpoint))
        }
        Action::SetTimer { after, token } => {
            writeln!(reply, "defer I={i} FromNowUs={after} Ctx={token}")
        }
        Action::Subscribe(on) => writeln!(reply, "tail I={i} Active={}", u8::from(*on)),
        Action::FetchEndpointList => writeln!(reply, "read_list I={i}"),
        Action::CloseIdleConnections(endpoint) => {
            writeln!(reply, "free_links I={i} Endpoint={}", name(endpoint))
        }
        Action::SendPeerMessage { to, bytes } => {
            let to = to.map_or(ALL_PEERS, i64::from);
            let bytes = if bytes.is_empty() { "-".to_owned() } else { STANDARD.encode(bytes) };
            writeln!(reply, "post I={i} Dst={to} Bytes={bytes}")
        }
        Action::Log(text) => {
            writeln!(reply, "say_log I={i} Text={}", text.replace(['\n', '\r'], " "))
        }
    }
}

/// Appends the last line of the reply to a batch.
pub(crate) fn batch_end(batch: u64, reply: &mut String) -> fmt::Result {
    writeln!(reply, "next batch={batch}")
}
