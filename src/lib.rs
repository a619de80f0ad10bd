//! The daemon: one balancer on this machine's sockets. Signals, wiring and exit codes; all else is the
//! gateway's. A library too, so that a rehearsal can carry the very daemon that it rehearses.
#![forbid(unsafe_code)]

use std::process::ExitCode;
use std::rc::Rc;

use hollowpaddle_gateway::{Config, serve};
use hollowpaddle_net::{Network, Tcp};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Runs the daemon to its end. It is told by `LB_NAME`, `LB_LISTEN`, `LB_DISCOVERY` and `LB_CONFIG`, and logs
/// to standard error.
pub fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).init();
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
    // Before all else: until there is a handler, the signal ends the process.
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let config = Config::read().map_err(|e| e.to_string())?;
    let listener = Tcp.listen(config.listen);
    let listener = listener.map_err(|e| format!("listen on {}: {e}", config.listen))?;
    // The bound address, not the wanted one: with port 0 it is the only word of where clients connect.
    let bound = listener.local_addr();
    let (reload, reloads) = mpsc::unbounded_channel();
    tokio::task::spawn_local(async move {
        while hangup.recv().await.is_some() {
            // A file that can't be used must not cost the service that runs.
            match Config::read() {
                Ok(new) => drop(reload.send(new)),
                Err(cause) => tracing::error!("the old configuration stays: {cause}"),
            }
        }
    });
    tracing::info!(name = config.name, "listening on {bound}");
    let stop = async move {
        term.recv().await;
    };
    serve(config, Rc::new(Tcp), listener, reloads, stop).await.map_err(|e| e.to_string())
}
