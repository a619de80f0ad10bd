//! A TCP stream that outlives the HTTP library's use of it, shared with whoever has to look at it. Reading and writing are
//! left to `stream`.

use std::cell::RefCell;
use std::rc::{Rc, Weak};

use hollowpaddle_net::Stream;

/// A stream with several owners on the one thread.
pub type SharedStream = Rc<RefCell<Box<dyn Stream>>>;

/// A stream that may be gone already.
pub type WeakStream = Weak<RefCell<Box<dyn Stream>>>;

/// Whether the stream is open and holds no unread bytes.
pub fn is_open_and_quiet(stream: &WeakStream) -> bool {
    stream.upgrade().is_some_and(|stream| stream.borrow().is_quiet())
}
