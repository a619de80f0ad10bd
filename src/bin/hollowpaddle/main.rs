//! One balancer on real sockets: clients in front, upstreams behind, every decision in the module.
//!
//! Everything runs on one thread. The tasks that do I/O tell the [`engine`] what happened and carry out
//! what it says; only the engine touches the module.
#![forbid(unsafe_code)]

mod bodies;
mod clients;
mod config;
mod connections;
mod discovery;
mod engine;
mod stream;
mod upstreams;

use std::process::ExitCode;
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

use clients::Front;
use config::Config;
use engine::Engine;
use upstreams::Pool;

fn main() -> ExitCode {
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
    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|e| format!("listen on {}: {e}", config.listen))?;
    let budget = config.budget();
    let pool = Pool::new(budget.upstreams, &config);
    let (engine, handle) = Engine::new(&config, pool).map_err(|e| format!("settings: {e}"))?;
    let engine = tokio::task::spawn_local(engine.run());
    // The bound address, not the wanted one: with port 0 it is the only word of where clients connect.
    let bound = listener.local_addr().map_err(|e| format!("listen on {}: {e}", config.listen))?;
    tracing::info!(name = config.name, "listening on {bound}");
    let reload = handle.reloader();
    let reloads = async move {
        while hangup.recv().await.is_some() {
            // A file that can't be used must not cost the service that runs.
            match Config::read() {
                Ok(new) => reload(new.discovery),
                Err(cause) => tracing::error!("the old configuration stays: {cause}"),
            }
        }
    };
    tokio::task::spawn_local(reloads);
    let front = Rc::new(Front::new(&config, handle, &budget));
    let serve = front.serve(listener, async move {
        term.recv().await;
    });
    tokio::select! {
        () = serve => Ok(()),
        // Without it nothing is ever answered well again; a restart is better.
        _ = engine => Err("the engine ended".to_string()),
    }
}
