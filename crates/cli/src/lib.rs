//! `iristhread`: the command-line tool of callers and operators.

mod caller;
mod cli_error;
mod explain;
mod operator;
mod target;

pub use caller::CallOrder;
pub use caller::Caller;
pub use caller::CompletionOutcome;
pub use cli_error::CliError;
pub use explain::explain;
pub use explain::line_of;
pub use operator::Operator;
pub use target::Target;
