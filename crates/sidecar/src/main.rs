//! A sidecar load balancer: it accepts its application's requests, and sends each to an endpoint that the balancer
//! chooses. All tasks share one thread.
//!
//! "The protocol" in this crate is the sidecar protocol between clients, sidecars, endpoints and discovery: headers,
//! the endpoint list, deadlines, and rules on retries, drains and slow start. The operators define it.

mod body;
mod client_liveness;
mod config;
mod connection;
mod connection_age;
mod connection_limiter;
mod discovery;
mod endpoint_list;
mod engine;
mod engine_input;
mod file_access;
mod gossip;
mod held_resources;
mod http_get;
mod idle_bound;
mod inbound;
mod inherited_socket;
mod io_failure;
mod log;
mod management;
mod memory_budget;
mod metrics;
mod outgoing_request;
mod registry_watch;
mod reload;
mod request;
mod request_ids;
mod request_lifecycle;
mod resizable_semaphore;
mod resource_limits;
mod resource_share;
mod retry;
mod send_gate;
mod service_state;
mod shutdown;
mod start_times;
mod startup;
mod state_file;
mod upstream;
mod write_progress;

use config::Config;
use log::log_line;
use startup::{Sidecar, StartError};
use std::process::ExitCode;
use tokio::runtime;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    lotusmoor_log_output::log_panics("lotusmoor-sidecar");
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log_line!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), StartError> {
    // Has to come before anything else is opened.
    let inherited = inherited_socket::inherited_listener()?;
    let config = Config::from_env()?;
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StartError::Runtime)?;
    LocalSet::new().block_on(&runtime, async {
        let mut sidecar = Sidecar::start(config, inherited)?;
        sidecar.serve_until_stopped().await?;
        sidecar.shut_down().await;
        Ok(())
    })
}
