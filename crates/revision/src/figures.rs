//! Shares and multiples as whole numbers, so that documents can be compared, ordered and hashed; how a
//! document is checked is its own.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

macro_rules! figure {
    ($name:ident, $whole:ty, $one:expr, $least:expr, $most:expr, $expected:literal) => {
        impl $name {
            /// The nearest to this number.
            ///
            /// # Errors
            /// What was expected instead, where it is outside the range or no number.
            pub fn of(number: f64) -> Result<Self, &'static str> {
                let whole = (number * $one).round();
                // NaN is in no range.
                if ($least..=$most).contains(&whole) {
                    Ok(Self(whole as $whole))
                } else {
                    Err($expected)
                }
            }

            /// As a number.
            pub fn number(self) -> f64 {
                f64::from(self.0) / $one
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
                if to.is_human_readable() {
                    to.serialize_f64(self.number())
                } else {
                    self.0.serialize(to)
                }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                let found = if from.is_human_readable() {
                    f64::deserialize(from)?
                } else {
                    f64::from(<$whole>::deserialize(from)?) / $one
                };
                Self::of(found).map_err(|expected| {
                    D::Error::custom(format_args!("found {found}; expected {expected}"))
                })
            }
        }
    };
}

/// What part of its usual weight something has: over 0, 1 at most, in thousandths. What is to have none is
/// out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Weight(u16);

figure!(
    Weight,
    u16,
    1000.0,
    1.0,
    1000.0,
    "a weight of 0.001 to 1 (what is to have none is put `out`)"
);

impl Weight {
    /// Its usual weight.
    pub const FULL: Self = Self(1000);

    /// In thousandths.
    pub fn thousandths(self) -> u16 {
        self.0
    }
}

/// How many times its even part of the fleet a balancer keeps links to, in hundredths
/// (`hollowpaddle-subset`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Times(u32);

figure!(
    Times,
    u32,
    100.0,
    100.0,
    100_000.0,
    "1 to 1000 times the even part (below 1 upstreams are left out)"
);

impl Default for Times {
    /// The usual factor, 4.
    fn default() -> Self {
        Self(400)
    }
}
