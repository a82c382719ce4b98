//! `iristhread`: the command-line tool of callers and operators.

mod caller;
mod cli_error;
mod explain;
mod gateway_log;
mod log_story;
mod losses;
mod operator;
mod target;

pub use caller::CallOrder;
pub use caller::Caller;
pub use caller::CompletionOutcome;
pub use cli_error::CliError;
pub use explain::explain;
pub use explain::line_of;
pub use gateway_log::GatewayLine;
pub use gateway_log::LinesRead;
pub use gateway_log::read_lines;
pub use log_story::LogStory;
pub use losses::LossTable;
pub use losses::Losses;
pub use losses::Objectives;
pub use losses::loss_text;
pub use operator::Operator;
pub use target::Target;
