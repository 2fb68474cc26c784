//! Chooses a replica for each request.
