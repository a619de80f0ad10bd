//! Fixed-point fractions and multiples, so that documents can be compared, ordered and hashed. The types check their
//! range; [`document`](crate::document) checks all other bounds.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Implements conversion and encoding: as a number in human-readable formats, as the stored integer in binary formats.
macro_rules! fixed_point {
    ($name:ident, $integer:ty, $scale:expr, $min:expr, $max:expr, $expected:literal) => {
        impl $name {
            /// Rounds `number` to the nearest value that can be stored.
            ///
            /// # Errors
            /// If `number` is NaN or outside the allowed range. The error states the range.
            pub fn of(number: f64) -> Result<Self, &'static str> {
                let scaled = (number * $scale).round();
                // NaN is in no range, so it is rejected here, too.
                if ($min..=$max).contains(&scaled) {
                    Ok(Self(scaled as $integer))
                } else {
                    Err($expected)
                }
            }

            /// Returns the value as a floating-point number.
            pub fn number(self) -> f64 {
                f64::from(self.0) / $scale
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                if serializer.is_human_readable() {
                    serializer.serialize_f64(self.number())
                } else {
                    self.0.serialize(serializer)
                }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let found = if deserializer.is_human_readable() {
                    f64::deserialize(deserializer)?
                } else {
                    f64::from(<$integer>::deserialize(deserializer)?) / $scale
                };
                Self::of(found).map_err(|expected| {
                    D::Error::custom(format_args!("found {found}; expected {expected}"))
                })
            }
        }
    };
}

/// A fraction of the usual weight, greater than 0 and at most 1, stored in thousandths. Upstreams that should have no
/// weight are listed in [`Document::exclusions`](crate::document::Document::exclusions).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Weight(u16);

fixed_point!(
    Weight,
    u16,
    1000.0,
    1.0,
    1000.0,
    "a weight of 0.001 to 1 (what is to have none is put `out`)"
);

impl Weight {
    /// The full, usual weight.
    pub const FULL: Self = Self(1000);

    /// Returns the weight in thousandths.
    pub fn thousandths(self) -> u16 {
        self.0
    }
}

/// The subset factor: the size of a balancer's subset as a multiple of its even share of the fleet, 1 to 1000, stored
/// in hundredths. `hollowpaddle-subset` chooses the subset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubsetFactor(u32);

fixed_point!(
    SubsetFactor,
    u32,
    100.0,
    100.0,
    100_000.0,
    "1 to 1000 times the even part (below 1 upstreams are left out)"
);

impl Default for SubsetFactor {
    /// Returns the usual factor, 4.
    fn default() -> Self {
        Self(400)
    }
}
