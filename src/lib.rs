//! The daemon: one balancer on this machine's sockets. The daemon handles signals and environment variables, connects the
//! components and returns the exit code. The gateway does everything else.
//!
//! The daemon is also a library, so that a rehearsal can run the daemon's own code.
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

/// Environment variable with the descriptor of an inherited listener for clients, which lets the next process share the
/// listener.
const PASSED_SOCKET: &str = "LB_PASSED_SOCKET";
/// Environment variable with the minimum log level; the default is `info`. At `debug` each request is logged.
const LOG_LEVEL: &str = "LB_LOG";
/// Maximum wait of a start for stored state, so that the balancer serves even if the disk hangs.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs the daemon until its end, and logs to standard error.
///
/// The daemon reads the environment variables `LB_NAME`, `LB_LISTEN`, `LB_DISCOVERY` and `LB_CONFIG`, and optionally
/// `LB_CONTROL`, `LB_STATE_DIR`, `LB_PASSED_SOCKET` and `LB_LOG`.
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
    // The signal handlers are installed first, because SIGHUP ends the process as long as there is no handler.
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let config = reload::read_at_start().await.map_err(|e| e.to_string())?;
    let listener = listen(&config)?;
    let operator_access = operator_access(&config)?;
    let stored_state = state::load(&config);
    let cluster = cluster::start(&config)?;
    // Logs the bound address, not the configured one: with port 0 the log is the only source of the port.
    let bound = listener.local_addr();
    let (reload, reloads) = mpsc::unbounded_channel();
    tokio::task::spawn_local(reload::read_after_signals(hangup, reload));
    tracing::info!(name = config.name, "listening on {bound}");
    let stop = async move {
        terminate.recv().await;
    };
    let resources = Resources { operator_access, stored_state, cluster };
    let served = serve(config, Rc::new(Tcp), listener, resources, reloads, stop).await;
    served.map_err(|e| e.to_string())
}

/// Returns the listener for clients: the inherited one if the platform passes a descriptor, otherwise a new one.
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

/// Opens the admin API's listener, and the store of operator commands under `$TMPDIR`, a directory that several balancers
/// may share.
fn operator_access(config: &Config) -> Result<OperatorAccess, String> {
    let Some(address) = config.admin_listen else { return Ok(OperatorAccess::default()) };
    let listener = Tcp.listen(address).map_err(|e| format!("listen on {address}: {e}"))?;
    let store = operator_store(&config.name);
    tracing::info!("operators at {}", listener.local_addr());
    Ok(OperatorAccess { listener: Some(listener), store })
}

/// Opens the store of commands to the balancer of this name. Returns `None` if the store can't be opened, so that the
/// balancer still serves.
fn operator_store(name: &str) -> Option<Store> {
    let parent = std::env::var_os("TMPDIR")?;
    let sanitize = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    let name: String = name.chars().map(sanitize).collect();
    match Store::open(Path::new(&parent).join(format!("hollowpaddle-{name}"))) {
        Ok(store) => Some(store),
        Err(cause) => {
            tracing::error!(%cause, "operator commands not stored: repeat them after each start");
            None
        }
    }
}
