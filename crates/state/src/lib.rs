//! The replicated state: configuration and the ledger of orders.
