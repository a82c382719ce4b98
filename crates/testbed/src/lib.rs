//! Starts the programs of this workspace as processes on loopback, for tests
//! and the demo. Processes are ended by their own ids.

mod child;
mod eventually;
mod link;
mod question;
mod scene;
mod scene_builder;
mod scene_document;
mod scene_process;

pub use child::Child;
pub use child::SceneError;
pub use eventually::eventually;
pub use link::Link;
pub use link::LinkState;
pub use question::Question;
pub use scene::CALLER_KEY;
pub use scene::OPERATOR_KEY;
pub use scene::OTHER_CALLER_KEY;
pub use scene::Scene;
pub use scene_builder::SceneBuilder;
pub use scene_document::CHAT_MODEL;
pub use scene_document::QUOTE_MODEL;
pub use scene_document::SLOT_SERVICE;
pub use scene_document::STOCK_SERVICE;
