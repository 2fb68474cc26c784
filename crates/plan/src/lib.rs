//! Forms, repairs and releases the replicas of one data centre.
