//! Loads the state of the previous process from the state directory, and starts saving the state of this process to it.

use std::fmt::Display;
use std::sync::mpsc;
use std::time::Duration;

use hollowpaddle_gateway::{Config, StoredState};
use hollowpaddle_net::{Network, Tcp};
use hollowpaddle_snapshot::{Directory, Found, Saver, Status, Store};

use crate::LOAD_TIMEOUT;

/// Loads the stored state, if the platform provides a state directory. Returns `None` after any error, so that the balancer
/// still serves.
pub fn load(config: &Config) -> Option<StoredState> {
    let dir = config.state_dir.clone()?;
    let displayed_dir = dir.display().to_string();
    let without_state = |cause: &dyn Display| {
        tracing::error!(dir = displayed_dir, %cause, "state not saved for the next start");
        None
    };
    let (sender, loaded) = mpsc::channel();
    let (name, now) = (config.name.clone(), Tcp.unix_now());
    // A separate thread loads the state. The thread is abandoned if the disk hangs.
    std::thread::spawn(move || {
        let opened = Directory::open(dir).map(|dir| open(dir, &name, now));
        let _ = sender.send(opened);
    });
    let (store, found) = match loaded.recv_timeout(LOAD_TIMEOUT) {
        Ok(Ok(opened)) => opened,
        Ok(Err(cause)) => return without_state(&cause),
        Err(_) => return without_state(&"disk did not respond in time"),
    };
    match start_saver(store) {
        Ok(saver) => Some(StoredState { saver: Box::new(saver), found }),
        Err(cause) => without_state(&cause),
    }
}

fn open(dir: Directory, name: &str, now: Duration) -> (Store, Found) {
    let mut store = Store::new(dir, name);
    let found = store.load(now, hollowpaddle_recovery::max_age());
    (store, found)
}

/// Starts the thread that saves the state. Since saves occur every other second, a failure is logged only when it begins and
/// when it is over.
fn start_saver(store: Store) -> std::io::Result<Saver> {
    let mut is_failing = false;
    Saver::start(store, move |status: &Status| {
        match (&status.failure, is_failing) {
            (Some(cause), false) => tracing::error!(%cause, "state not saved"),
            (None, true) => tracing::info!("state saved again"),
            _ => {}
        }
        is_failing = status.failure.is_some();
    })
}
