//! Calls that the operators' tool makes to an entry node.
