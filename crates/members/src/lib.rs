//! Membership of the entry nodes and the bounded exchange between them.
