//! A node's settings, checked as a whole.
