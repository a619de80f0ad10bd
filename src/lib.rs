//! The daemon: one balancer on this machine's sockets. Signals, wiring and exit codes; all else is the
//! gateway's. A library too, so that a rehearsal can carry the very daemon that it rehearses.
#![forbid(unsafe_code)]

mod reload;

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_failpoints::Points;
use hollowpaddle_gateway::cluster::{self, ClusterHandle, RecoveredState, Runtime};
use hollowpaddle_gateway::config::ClusterConfig;
use hollowpaddle_gateway::{Config, OperatorAccess, Provided, StoredState, serve};
use hollowpaddle_net::{Listener, Network, Tcp};
use hollowpaddle_operator_commands::Store;
use hollowpaddle_snapshot::{Directory, Saver, Status};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Names the descriptor of a clients' listener that is handed down, so that the next process can share it.
const PASSED: &str = "LB_PASSED_SOCKET";

/// Names the least level that is logged, `info` where nothing is said. At `debug` the log follows each request.
const LOG_LEVEL: &str = "LB_LOG";

/// Runs the daemon to its end. It is told by `LB_NAME`, `LB_LISTEN`, `LB_DISCOVERY` and `LB_CONFIG`, and where
/// there are such by `LB_CONTROL` and `LB_PASSED_SOCKET`; it logs to standard error.
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
    // Before all else: until there is a handler, the signal ends the process.
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let config = reload::read_at_start().await.map_err(|e| e.to_string())?;
    let listener = listen(&config)?;
    let operating = operating(&config)?;
    let kept = kept(&config);
    let cluster = cluster(&config)?;
    // The bound address, not the wanted one: with port 0 it is the only word of where clients connect.
    let bound = listener.local_addr();
    let (reload, reloads) = mpsc::unbounded_channel();
    tokio::task::spawn_local(reload::read_on(hangup, reload));
    tracing::info!(name = config.name, "listening on {bound}");
    let stop = async move {
        term.recv().await;
    };
    let provided = Provided { operator_access: operating, stored_state: kept, cluster };
    let served = serve(config, Rc::new(Tcp), listener, provided, reloads, stop).await;
    served.map_err(|e| e.to_string())
}

/// The clients' listener: the one that the platform hands down to each process, or one of our own.
fn listen(config: &Config) -> Result<Box<dyn Listener>, String> {
    if let Some(passed) = std::env::var(PASSED).ok().filter(|p| !p.is_empty()) {
        let descriptor: i32 =
            passed.parse().map_err(|_| format!("{PASSED} is not a descriptor: {passed:?}"))?;
        return Tcp::inherited(descriptor).map_err(|e| format!("{PASSED}={descriptor}: {e}"));
    }
    Tcp.listen(config.listen).map_err(|e| format!("listen on {}: {e}", config.listen))
}

/// The operators' door, and a directory under `$TMPDIR` for what they say. Several balancers may share that.
fn operating(config: &Config) -> Result<OperatorAccess, String> {
    let Some(control) = config.control else { return Ok(OperatorAccess::default()) };
    let listener = Tcp.listen(control).map_err(|e| format!("listen on {control}: {e}"))?;
    let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    let name: String = config.name.chars().map(plain).collect();
    let store = std::env::var_os("TMPDIR")
        .map(|dir| Store::open(std::path::Path::new(&dir).join(format!("hollowpaddle-{name}"))));
    let store = store.and_then(|opened| match opened {
        Ok(store) => Some(store),
        // No reason not to serve.
        Err(cause) => {
            tracing::error!(%cause, "what operators say is not kept: tell this process anew after each start");
            None
        }
    });
    tracing::info!("operators at {}", listener.local_addr());
    Ok(OperatorAccess { listener: Some(listener), store })
}

/// What is stored is waited for so long at a start: a disk that hangs is no reason not to serve.
const LOAD: Duration = Duration::from_secs(1);

/// What lies in the state directory, where the platform keeps one, and what saves there from now on. Nothing that is
/// wrong with it is a reason not to serve.
fn kept(config: &Config) -> Option<StoredState> {
    let dir = config.state_dir.clone()?;
    let (name, now) = (config.name.clone(), Tcp.unix_now());
    let (tell, loaded) = std::sync::mpsc::channel();
    let shown = dir.display().to_string();
    // On a thread of its own, which is left behind where the disk hangs.
    std::thread::spawn(move || {
        let opened = Directory::open(dir).map(|dir| {
            let mut store = hollowpaddle_snapshot::Store::new(dir, &name);
            let found = store.load(now, hollowpaddle_recovery::max_age());
            (store, found)
        });
        let _ = tell.send(opened);
    });
    let without = |cause: &dyn std::fmt::Display| {
        tracing::error!(dir = shown, %cause, "nothing is kept for the next start");
        None
    };
    let (store, found) = match loaded.recv_timeout(LOAD) {
        Ok(Ok(opened)) => opened,
        Ok(Err(cause)) => return without(&cause),
        Err(_) => return without(&"it did not answer in time"),
    };
    let mut failing = false;
    let saver = Saver::start(store, move |status: &Status| {
        // Once when it begins to fail, and once when it is well again: it is tried every other second.
        match (&status.failure, failing) {
            (Some(cause), false) => tracing::error!(%cause, "what was learned can't be saved"),
            (None, true) => tracing::info!("what was learned is saved again"),
            _ => {}
        }
        failing = status.failure.is_some();
    });
    match saver {
        Ok(saver) => Some(StoredState { saver: Box::new(saver), found }),
        Err(cause) => without(&cause),
    }
}

/// This balancer's part of the bank, on a thread of its own, where balancers may talk.
fn cluster(config: &Config) -> Result<Option<ClusterHandle>, String> {
    let Some(of) = &config.cluster else { return Ok(None) };
    // The platform's seed is new with each start, unless two processes of one configuration overlap.
    let life = RandomState::new().hash_one(config.seed) as u32;
    let points = Points::from_environment().map_err(|e| e.to_string())?;
    let stored = stored(config, of, &points);
    let (link, shell) =
        cluster::join(config, of, life, stored, points).map_err(|e| format!("the bank: {e}"))?;
    let started =
        std::thread::Builder::new().name("bank".to_string()).spawn(move || run_bank(shell));
    started.map_err(|e| format!("a thread for the bank: {e}"))?;
    Ok(Some(link))
}

/// What the bank finds in the state directory, where the platform keeps one. A balancer for which there is none, or that
/// can't be had in time, forgets with each process; the others know what that means.
fn stored(config: &Config, of: &ClusterConfig, points: &Points) -> Option<RecoveredState> {
    let dir = config.state_dir.as_ref()?.join("bank");
    let (name, points, id, me) = (config.name.clone(), points.clone(), of.id(), of.member());
    let shown = dir.display().to_string();
    let (tell, opened) = std::sync::mpsc::channel();
    std::thread::spawn(move || drop(tell.send(cluster::open(&dir, id, me, &name, &points))));
    let opened = opened.recv_timeout(LOAD).unwrap_or(Err(cluster::DurableLogError::TimedOut));
    match opened {
        Ok(stored) => Some(stored),
        Err(cause) => {
            tracing::error!(dir = shown, %cause, "the bank keeps nothing here");
            None
        }
    }
}

/// Runs until nobody has a hand on it any more.
fn run_bank(shell: Runtime) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, shell.run(Rc::new(Tcp))),
        Err(cause) => tracing::error!(%cause, "no words with other balancers: the charter holds"),
    }
}
