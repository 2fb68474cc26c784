//! Checks of the code style that rustfmt and clippy do not make.
//!
//! The checks are this crate's tests. The library only reads the source files.

mod source;

pub use source::Source;
pub use source::sources;
