//! Types that all crates share: ids, names, sizes, rates, times, contracts and reports.
//!
//! There are no decisions here. The crates that decide are state machines over these
//! types: they take a [`Time`] and an input and return outputs. They use no socket,
//! file, clock or unseeded randomness.

mod contract;
mod digest;
mod finding;
mod host;
mod id;
mod name;
mod rate;
mod request_part;
mod time;
mod truth;

pub use contract::Contract;
pub use contract::Overflow;
pub use contract::Priority;
pub use digest::Digest;
pub use finding::Finding;
pub use finding::Findings;
pub use finding::SourceLocation;
pub use host::Assignment;
pub use host::Duty;
pub use host::Fencing;
pub use host::HostReport;
pub use host::Load;
pub use host::ServiceReport;
pub use id::CentreId;
pub use id::ChangeId;
pub use id::DiskId;
pub use id::DomainId;
pub use id::Fence;
pub use id::HostId;
pub use id::Incarnation;
pub use id::NodeId;
pub use id::ParseIdError;
pub use id::ReplicaId;
pub use id::RequestId;
pub use id::Version;
pub use name::CallerName;
pub use name::CentreName;
pub use name::ContractName;
pub use name::DomainName;
pub use name::ModelName;
pub use name::NameError;
pub use name::OrderKey;
pub use name::OrgName;
pub use name::PromptPartId;
pub use name::ReplicaName;
pub use name::RouteName;
pub use name::ServiceName;
pub use name::UpstreamId;
pub use rate::ByteSize;
pub use rate::RequestRate;
pub use rate::TokenCount;
pub use rate::TokenRate;
pub use request_part::RequestContent;
pub use request_part::RequestDigest;
pub use request_part::RequestPart;
pub use request_part::RequestPartError;
pub use time::Time;
pub use time::span_from_secs;
pub use truth::Ran;
