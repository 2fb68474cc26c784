//! Checks of the house style that rustfmt and clippy do not make.
//!
//! The checks are this crate's tests. The library only walks the sources.

mod source;

pub use source::Source;
pub use source::sources;
