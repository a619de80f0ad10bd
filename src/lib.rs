//! The daemon: one balancer on this machine's sockets. It reads signals and environment variables, wires the parts and
//! gives the exit code; everything else is left to the gateway.
//!
//! A library too, so that a rehearsal can run the very daemon that it rehearses.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod cluster;
mod reload;
mod state;

use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_gateway::{Config, OperatorAccess, Resources, serve};
use hollowpaddle_net::{Listener, Network, Tcp};
use hollowpaddle_operator_commands::Store;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Environment variable with the descriptor of a clients' listener that is handed down, so that the next process can share
/// it.
const PASSED_SOCKET: &str = "LB_PASSED_SOCKET";
/// Environment variable with the lowest level that is logged; `info` without it. At `debug` the log follows each request.
const LOG_LEVEL: &str = "LB_LOG";
/// How long a start waits for stored state: a disk that hangs is no reason not to serve.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs the daemon to its end, and logs to standard error.
///
/// It reads `LB_NAME`, `LB_LISTEN`, `LB_DISCOVERY` and `LB_CONFIG`, and where they are set `LB_CONTROL`, `LB_STATE_DIR`,
/// `LB_PASSED_SOCKET` and `LB_LOG`.
pub fn main() -> ExitCode {
    let level = std::env::var(LOG_LEVEL).ok().and_then(|level| level.parse().ok());
    tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(tracing::Level::INFO))
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .init();
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("hollowpaddle: {message}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, run())
}

async fn run() -> Result<(), String> {
    // Before anything else: until there is a handler, the signal ends the process.
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let config = reload::read_at_start().await.map_err(|e| e.to_string())?;
    let listener = listen(&config)?;
    let operator_access = operator_access(&config)?;
    let stored_state = state::load(&config);
    let cluster = cluster::start(&config)?;
    // The bound address, not the one asked for: with port 0 nothing else tells where clients connect.
    let bound = listener.local_addr();
    let (reload, reloads) = mpsc::unbounded_channel();
    tokio::task::spawn_local(reload::read_on(hangup, reload));
    tracing::info!(name = config.name, "listening on {bound}");
    let stop = async move {
        terminate.recv().await;
    };
    let resources = Resources { operator_access, stored_state, cluster };
    let served = serve(config, Rc::new(Tcp), listener, resources, reloads, stop).await;
    served.map_err(|e| e.to_string())
}

/// The clients' listener: the one that the platform hands down, or one of our own.
fn listen(config: &Config) -> Result<Box<dyn Listener>, String> {
    if let Some(passed) = std::env::var(PASSED_SOCKET).ok().filter(|p| !p.is_empty()) {
        let descriptor: i32 = passed
            .parse()
            .map_err(|_| format!("{PASSED_SOCKET} is not a descriptor: {passed:?}"))?;
        return Tcp::inherited(descriptor)
            .map_err(|e| format!("{PASSED_SOCKET}={descriptor}: {e}"));
    }
    Tcp.listen(config.listen).map_err(|e| format!("listen on {}: {e}", config.listen))
}

/// The admin API's listener, and the store of operators' commands under `$TMPDIR`, which several balancers may share.
fn operator_access(config: &Config) -> Result<OperatorAccess, String> {
    let Some(admin_listen) = config.admin_listen else { return Ok(OperatorAccess::default()) };
    let listener =
        Tcp.listen(admin_listen).map_err(|e| format!("listen on {admin_listen}: {e}"))?;
    let store = operator_store(&config.name);
    tracing::info!("operators at {}", listener.local_addr());
    Ok(OperatorAccess { listener: Some(listener), store })
}

/// The store of operators' commands to the balancer of this name. That it can't be opened is no reason not to serve.
fn operator_store(name: &str) -> Option<Store> {
    let parent = std::env::var_os("TMPDIR")?;
    let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    let name: String = name.chars().map(plain).collect();
    match Store::open(Path::new(&parent).join(format!("hollowpaddle-{name}"))) {
        Ok(store) => Some(store),
        Err(cause) => {
            tracing::error!(%cause, "operator commands not stored: repeat them after each start");
            None
        }
    }
}
