//! Stand-ins for the external systems, for tests and the demo: an engine, a plain service and
//! the platform. Each runs as its own process; faults are switched on by a request.

mod answer;
mod engine;
mod engine_server;
mod engine_session;
mod engine_settings;
mod json_reply;
mod platform_server;
mod platform_state;
mod prefix_cache;
mod service_server;

pub use answer::expected_answer;
pub use answer::expected_length;
pub use answer::expected_token;
pub use engine::Engine;
pub use engine_server::serve_engine;
pub use engine_settings::EngineSettings;
pub use platform_server::serve_platform;
pub use platform_state::PlatformState;
pub use service_server::ServiceSettings;
pub use service_server::serve_service;
