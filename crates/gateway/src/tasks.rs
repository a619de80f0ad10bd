//! Tasks that live no longer than whoever started them.

use tokio::task::JoinHandle;

/// A task that ends with its owner, and closes what it holds.
pub struct AbortOnDrop(pub JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
