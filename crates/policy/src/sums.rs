//! Exact sums over the fleet.

use hollowpaddle_ordered_collections::total::Total;

/// A sum over the fleet of figures below 8 million.
pub(crate) type Sum = Total<40>;

/// A sum over the fleet of rates, below 128 a microsecond.
pub(crate) type Rates = Total<56>;

/// A sum over the fleet of times, in microseconds below 2^33.
pub(crate) type Times = Total<30>;
