//! Starts the programs of this workspace as processes on loopback, for tests
//! and the demo. Signals are sent to process ids only, never to process names.

mod child;
mod eventually;
mod link;
mod scene;
mod scene_builder;
mod scene_document;
mod scene_process;
mod test_request;

pub use child::Child;
pub use child::SceneError;
pub use eventually::eventually;
pub use link::Link;
pub use link::LinkState;
pub use scene::CALLER_KEY;
pub use scene::OPERATOR_KEY;
pub use scene::OTHER_CALLER_KEY;
pub use scene::Scene;
pub use scene_builder::SceneBuilder;
pub use scene_document::CHAT_MODEL;
pub use scene_document::QUOTE_MODEL;
pub use scene_document::SLOT_SERVICE;
pub use scene_document::STOCK_SERVICE;
pub use test_request::TestRequest;
