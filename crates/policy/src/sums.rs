//! Exact sums over all upstreams.

use hollowpaddle_ordered_collections::total::Total;

/// A sum of values below 8 million.
pub(crate) type Sum = Total<40>;

/// A sum of rates below 128 per microsecond.
pub(crate) type Rates = Total<56>;

/// A sum of times below 2^33 microseconds.
pub(crate) type Times = Total<30>;
