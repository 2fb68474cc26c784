//! The operators' file of rules: parsed, checked and turned into contracts.
