//! Counts how often each upstream has sent bytes that no request asked for.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use hollowpaddle_policy::interface::ServerId;
use rustc_hash::FxHashMap;

/// Most upstreams that are counted one by one. Those beyond count in the total alone.
const MAX_COUNTED_UPSTREAMS: usize = 1024;

/// The counts, shared by all who hold one of these.
#[derive(Clone, Default)]
pub struct UnsolicitedBytes(Rc<RefCell<Counts>>);

#[derive(Default)]
struct Counts {
    total: u64,
    by_upstream: FxHashMap<ServerId, u64>,
}

impl UnsolicitedBytes {
    /// Counts a connection on which an upstream has sent unsolicited bytes.
    pub(super) fn count(&self, upstream: ServerId) {
        let mut counts = self.0.borrow_mut();
        counts.total += 1;
        let has_room = counts.by_upstream.len() < MAX_COUNTED_UPSTREAMS;
        let count = match counts.by_upstream.get_mut(&upstream) {
            Some(count) => {
                *count += 1;
                *count
            }
            None => {
                if has_room {
                    counts.by_upstream.insert(upstream, 1);
                }
                1
            }
        };
        tracing::warn!(upstream = upstream.0, count, "unsolicited bytes from upstream");
    }

    /// The counts as the admin API shows them: in all, and by the handle of the upstream that the log names.
    pub fn counts(&self) -> serde_json::Value {
        let counts = self.0.borrow();
        let by_upstream: BTreeMap<u32, u64> =
            counts.by_upstream.iter().map(|(upstream, count)| (upstream.0, *count)).collect();
        serde_json::json!({"total": counts.total, "by_upstream": by_upstream})
    }
}
