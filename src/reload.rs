//! Reads the configuration at the start and after each SIGHUP, from a file that may be in the middle of a write.

use std::time::Duration;

use hollowpaddle_gateway::{Config, ConfigError};
use tokio::signal::unix::Signal;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{Instant, sleep};

/// How long a start retries a file that can't be read or ends too early; a new process has 10 s to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a reload retries a file that can't be used; the balancer serves by the old configuration meanwhile.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after the first attempt; each later pause is twice the one before.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// The longest pause between two attempts.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Reads the configuration for a start.
///
/// # Errors
/// The configuration can't be used, and that the file is being written does not explain it.
pub async fn read_at_start() -> Result<Config, ConfigError> {
    read(START_TIMEOUT, ConfigError::is_incomplete).await
}

/// Reads the configuration after each SIGHUP, and sends it on. The old configuration stays while a file can't be used. One
/// that is read half written is retried too, or nobody would follow discovery to its new address.
pub async fn read_on(mut hangup: Signal, reload: UnboundedSender<Config>) {
    let mut is_due = hangup.recv().await.is_some();
    while is_due {
        is_due = tokio::select! {
            biased;
            // A newer file, whose timeout begins anew.
            again = hangup.recv() => again.is_some(),
            config = read(RELOAD_TIMEOUT, |_| true) => {
                match config {
                    Ok(config) => drop(reload.send(config)),
                    Err(cause) => tracing::error!(%cause, "reload failed, old configuration stays"),
                }
                hangup.recv().await.is_some()
            }
        };
    }
}

/// Reads the configuration, and retries for up to `timeout` while an error `is_transient`.
async fn read(
    timeout: Duration,
    is_transient: impl Fn(&ConfigError) -> bool,
) -> Result<Config, ConfigError> {
    let started_at = Instant::now();
    let mut pause = FIRST_PAUSE;
    loop {
        match Config::read() {
            Err(cause) if is_transient(&cause) && started_at.elapsed() < timeout => {
                let retry_ms = pause.as_millis() as u64;
                tracing::warn!(retry_ms, %cause, "configuration not usable yet");
                sleep(pause).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
            result => return result,
        }
    }
}
