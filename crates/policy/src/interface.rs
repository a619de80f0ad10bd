//! The interface between a balancer and its caller: ids, time, settings, events and actions.
//!
//! The types here are plain data; all decisions are made in [`crate::policy`].

mod action;
mod attempt;
mod class;
mod config;
mod event;
mod member;
mod request;
mod time;

pub use action::{Action, Refusal};
pub use attempt::{CompletedAttempt, Outcome, Report};
pub use class::{Class, Effect, Group, Tenant};
pub use config::{Limits, Prices, Reports, Rules, ScoringMix, Settings, SettingsError};
pub use event::Event;
pub use member::{ListKind, Member, ServerId, Status};
pub use request::{Request, RequestId};
pub use time::{SignedDuration, Time};
