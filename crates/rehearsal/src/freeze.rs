//! A balancer inside this process that can be frozen, as SIGSTOP freezes a process: nothing of it runs, what would wake it
//! waits, and time goes on.

use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// A hand on it.
#[derive(Clone, Default)]
pub struct FreezeSwitch(Rc<SwitchState>);

#[derive(Default)]
struct SwitchState {
    frozen: Cell<bool>,
    waker: Cell<Option<Waker>>,
}

impl FreezeSwitch {
    /// Freezes it, or has it go on.
    pub fn set(&self, frozen: bool) {
        self.0.frozen.set(frozen);
        if !frozen {
            self.0.waker.take().into_iter().for_each(Waker::wake);
        }
    }

    /// Runs what can be frozen by this.
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
