//! Admits, queues or refuses requests by the callers' contracts.
