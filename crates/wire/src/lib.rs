//! Messages between processes and their JSON-RPC methods.
