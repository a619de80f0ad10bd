//! Suspension of a balancer inside this process, as SIGSTOP suspends a process: none of its tasks
//! run, wake-ups are deferred, and time goes on.

use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// Suspends and resumes a future that runs under [`FreezeSwitch::run`].
#[derive(Clone, Default)]
pub struct FreezeSwitch(Rc<SwitchState>);

#[derive(Default)]
struct SwitchState {
    frozen: Cell<bool>,
    waker: Cell<Option<Waker>>,
}

impl FreezeSwitch {
    /// Suspends or resumes the future.
    pub fn set(&self, frozen: bool) {
        self.0.frozen.set(frozen);
        if !frozen {
            self.0.waker.take().into_iter().for_each(Waker::wake);
        }
    }

    /// Runs a future that this switch can suspend.
    pub async fn run<F: Future>(self, inner: F) -> F::Output {
        let mut inner = pin!(inner);
        poll_fn(|cx| {
            if self.0.frozen.get() {
                self.0.waker.set(Some(cx.waker().clone()));
                return Poll::Pending;
            }
            inner.as_mut().poll(cx)
        })
        .await
    }
}
