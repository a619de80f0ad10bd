//! Counts how often each upstream has sent unsolicited bytes: bytes that are no response to a request.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use hollowpaddle_policy::interface::ServerId;
use rustc_hash::FxHashMap;

/// The largest number of upstreams with a count of their own. Further upstreams are counted in the total only.
const MAX_COUNTED_UPSTREAMS: usize = 1024;

/// The counts of unsolicited bytes, shared by all clones.
#[derive(Clone, Default)]
pub struct UnsolicitedBytes(Rc<RefCell<Counts>>);

#[derive(Default)]
struct Counts {
    total: u64,
    by_upstream: FxHashMap<ServerId, u64>,
}

impl UnsolicitedBytes {
    /// Counts one connection on which an upstream has sent unsolicited bytes.
    pub(super) fn count(&self, upstream: ServerId) {
        let mut counts = self.0.borrow_mut();
        counts.total += 1;
        let has_capacity = counts.by_upstream.len() < MAX_COUNTED_UPSTREAMS;
        let count = match counts.by_upstream.get_mut(&upstream) {
            Some(count) => {
                *count += 1;
                *count
            }
            None => {
                if has_capacity {
                    counts.by_upstream.insert(upstream, 1);
                }
                1
            }
        };
        tracing::warn!(upstream = upstream.0, count, "unsolicited bytes from upstream");
    }

    /// Returns the counts as the admin API shows them: in total, and by the upstream handles that appear in the log.
    pub fn counts(&self) -> serde_json::Value {
        let counts = self.0.borrow();
        let by_upstream: BTreeMap<u32, u64> =
            counts.by_upstream.iter().map(|(upstream, count)| (upstream.0, *count)).collect();
        serde_json::json!({"total": counts.total, "by_upstream": by_upstream})
    }
}
