//! The lease of a data centre's controller and its fencing numbers.
