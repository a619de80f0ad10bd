//! Reads the configuration at the start and after each SIGHUP. The file may be incomplete because it is being written.

use std::time::Duration;

use hollowpaddle_gateway::{Config, ConfigError};
use tokio::signal::unix::Signal;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{Instant, sleep};

/// Maximum time for which a start retries a file that is unreadable or truncated. A new process has 10 s to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time for which a reload retries a file that can't be used. Meanwhile the balancer serves by the old
/// configuration.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after the first attempt. Each further pause is twice as long as the previous one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
/// Maximum pause between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Reads the configuration for a start.
///
/// # Errors
/// Returns an error if the configuration is invalid, or if the file is still unreadable or truncated after
/// [`START_TIMEOUT`].
pub async fn read_at_start() -> Result<Config, ConfigError> {
    read(START_TIMEOUT, ConfigError::is_incomplete).await
}

/// Reads the configuration after each SIGHUP, and sends it to `reload`. The old configuration stays in use while the file
/// can't be used. A file that is read while being written is retried, or the balancer would miss a new address of discovery.
pub async fn read_after_signals(mut hangup: Signal, reload: UnboundedSender<Config>) {
    let mut is_due = hangup.recv().await.is_some();
    while is_due {
        is_due = tokio::select! {
            biased;
            // Another SIGHUP announces a newer file, for which the timeout restarts.
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

/// Reads the configuration, and retries for up to `timeout` after errors that are transient according to `is_transient`.
async fn read(
    timeout: Duration,
    is_transient: impl Fn(&ConfigError) -> bool,
) -> Result<Config, ConfigError> {
    let started_at = Instant::now();
    let mut backoff = INITIAL_BACKOFF;
    loop {
        match Config::read() {
            Err(cause) if is_transient(&cause) && started_at.elapsed() < timeout => {
                let retry_ms = backoff.as_millis() as u64;
                tracing::warn!(retry_ms, %cause, "configuration not usable yet");
                sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
            result => return result,
        }
    }
}
