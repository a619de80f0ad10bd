//! What the released program has of points: nothing.

use std::convert::Infallible;

use crate::{Fault, Kind};

/// No points.
#[derive(Clone, Debug, Default)]
pub struct Points;

impl Points {
    /// No points.
    pub const fn none() -> Self {
        Self
    }

    /// No points, whatever the environment says: it is not looked at.
    ///
    /// # Errors
    /// None; armed there are some.
    pub const fn from_environment() -> Result<Self, Infallible> {
        Ok(Self)
    }

    /// The same for another process of a run.
    #[must_use]
    pub const fn of(&self, _whose: u32) -> Self {
        Self
    }

    /// Nothing ever fails here.
    #[inline(always)]
    pub const fn pass(&self, _name: &'static str, _kind: Kind) -> Option<Fault> {
        None
    }

    /// Nothing ever fails here.
    #[inline(always)]
    pub const fn meet(&self, _name: &'static str, _kind: Kind) -> Option<Fault> {
        None
    }

    /// There is nothing to carry out.
    #[inline(always)]
    pub const fn carry_out(&self, fault: Fault) -> Option<Fault> {
        Some(fault)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_is_nothing_and_nothing_fails() {
        assert_eq!(size_of::<Points>(), 0);
        const FAULT: Option<Fault> = Points::none().of(3).pass("write", Kind::Write);
        assert_eq!((FAULT, Points.meet("write", Kind::Write)), (None, None));
        assert_eq!(Points.carry_out(Fault::Io), Some(Fault::Io));
        assert!(Points::from_environment().is_ok());
    }
}
