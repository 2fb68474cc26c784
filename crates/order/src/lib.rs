//! The way of an order at its entry node: claim, send once, record.
