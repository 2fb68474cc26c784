//! The largest head of a request, which may change while a server runs.

use std::cell::Cell;
use std::rc::Rc;

/// The smallest limit, in bytes: what is read at once.
const MIN_BYTES: usize = 8 * 1024;

/// The largest limit, in bytes.
const MAX_BYTES: usize = 64 * 1024;

/// Room for what may come with the last bytes of a head, in bytes.
const MARGIN_BYTES: usize = 1_024;

/// The largest head of a request. Its clones are the same limit.
#[derive(Clone, Debug)]
pub struct HeadLimit(Rc<Cell<usize>>);

impl HeadLimit {
    /// A limit of `bytes`, from 8 to 64 KiB.
    pub fn new(bytes: usize) -> Self {
        let limit = Self(Rc::default());
        limit.set(bytes);
        limit
    }

    /// Sets the limit for connections that are accepted from now on.
    pub fn set(&self, bytes: usize) {
        self.0.set(bytes.clamp(MIN_BYTES, MAX_BYTES));
    }

    /// The largest buffer that a head is read into, in bytes.
    pub(crate) fn buffer_bytes(&self) -> usize {
        self.0.get() + MARGIN_BYTES
    }
}
