//! Measurements: each program under `src/bin` prints the figures that the docs
//! quote, with the conditions of the run.

mod figures;
mod fleet;
mod limit_fleet;
mod policy_fleet;
mod policy_world;
mod process_cost;
mod virtual_engine;
mod workload;

pub use figures::Figures;
pub use figures::interval;
pub use fleet::FleetSize;
pub use fleet::NOW;
pub use limit_fleet::LimitFleet;
pub use limit_fleet::LimitTrial;
pub use limit_fleet::LimitWay;
pub use limit_fleet::Trouble;
pub use policy_world::OUTAGE;
pub use policy_world::PolicyWorld;
pub use policy_world::Trial;
pub use process_cost::ProcessCost;
pub use virtual_engine::EngineEventKind;
pub use virtual_engine::VirtualEngine;
pub use workload::Deployment;
pub use workload::Session;
pub use workload::Workload;
