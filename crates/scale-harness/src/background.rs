//! Stand-ins on threads of their own, which end with their owner.

use std::io;
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;

use tokio::sync::watch;
use tokio::task::LocalSet;

/// A thread that serves on a current-thread runtime until this is dropped.
pub struct Background {
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl Background {
    /// Starts a thread that runs `begin` inside a `LocalSet`, and returns what that returned. Local tasks that it
    /// has spawned run until the owner is dropped.
    ///
    /// # Errors
    /// There is no thread or no runtime to be had, or `begin` failed.
    pub fn start<T, F>(name: &str, begin: F) -> io::Result<(Self, T)>
    where
        T: Send + 'static,
        F: FnOnce() -> io::Result<T> + Send + 'static,
    {
        let (stop, stopped) = watch::channel(false);
        let (report, begun) = channel();
        let builder = std::thread::Builder::new().name(name.to_string());
        let thread = builder.spawn(move || run(begin, stopped, report))?;
        let background = Self { stop, thread: Some(thread) };
        let ended = |_| io::Error::other("the thread ended before it began to serve");
        let value = begun.recv().map_err(ended)??;
        Ok((background, value))
    }
}

impl Drop for Background {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The thread's body.
fn run<T>(
    begin: impl FnOnce() -> io::Result<T>,
    mut stopped: watch::Receiver<bool>,
    report: Sender<io::Result<T>>,
) {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(cause) => return drop(report.send(Err(cause))),
    };
    LocalSet::new().block_on(&runtime, async move {
        let _ = report.send(begin());
        let _ = stopped.wait_for(|stop| *stop).await;
    });
}
