//! `iristhread`: the command-line tool for callers and operators.

mod caller;
mod cli_error;
mod explain;
mod gateway_log;
mod log_trace;
mod losses;
mod operator;
mod target;

pub use caller::CallRequest;
pub use caller::Caller;
pub use caller::CompletionOutcome;
pub use cli_error::CliError;
pub use explain::explain;
pub use explain::format_record;
pub use gateway_log::GatewayLine;
pub use gateway_log::LinesRead;
pub use gateway_log::read_lines;
pub use log_trace::LogTrace;
pub use losses::LossTable;
pub use losses::Losses;
pub use losses::Objectives;
pub use losses::format_losses;
pub use operator::Operator;
pub use target::Target;
