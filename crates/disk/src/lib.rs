//! A durable log with snapshots in one data folder.
