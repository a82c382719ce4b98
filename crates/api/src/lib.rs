//! Types of the interfaces: callers, engines, platform and operators, with one
//! HTTP client for all of them.

mod completion;
mod engine_api;
mod error_body;
mod fleet_api;
mod headers;
mod http_client;
mod platform_api;
mod resource;
mod service_api;

pub use completion::ChatMessage;
pub use completion::ChatRequest;
pub use completion::Choice;
pub use completion::Completion;
pub use completion::CompletionRequest;
pub use completion::DONE_MARK;
pub use completion::Delta;
pub use completion::ModelCard;
pub use completion::ModelList;
pub use completion::Usage;
pub use engine_api::EndReason;
pub use engine_api::EngineEvent;
pub use engine_api::EngineFaults;
pub use engine_api::FencedOrder;
pub use engine_api::GenerateRequest;
pub use error_body::ErrorBody;
pub use error_body::ErrorDetail;
pub use fleet_api::FleetTimeline;
pub use fleet_api::InstanceStatus;
pub use headers::*;
pub use http_client::BodyLimit;
pub use http_client::EventStream;
pub use http_client::HttpClient;
pub use http_client::HttpClientError;
pub use http_client::Reply;
pub use platform_api::ConfigReply;
pub use platform_api::InstancesReply;
pub use platform_api::PlatformFaults;
pub use platform_api::ReadCount;
pub use resource::Resource;
pub use resource::ResourceEvent;
pub use resource::ResourceKind;
pub use resource::ResourceList;
pub use service_api::Executions;
pub use service_api::ServiceAnswer;
pub use service_api::ServiceFaults;
