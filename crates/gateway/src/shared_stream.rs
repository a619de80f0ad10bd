//! A TCP stream that is shared between the HTTP library and the tasks that inspect or close it, and that outlives the
//! library's use of it. The module `stream` implements reading and writing.

use std::cell::RefCell;
use std::rc::{Rc, Weak};

use hollowpaddle_net::Stream;

/// A stream with several owners on one thread.
pub type SharedStream = Rc<RefCell<Box<dyn Stream>>>;

/// A weak reference to a shared stream, which may be dropped already.
pub type WeakStream = Weak<RefCell<Box<dyn Stream>>>;

/// Whether the stream is open and holds no unread bytes.
pub fn is_open_and_quiet(stream: &WeakStream) -> bool {
    stream.upgrade().is_some_and(|stream| stream.borrow().is_quiet())
}
