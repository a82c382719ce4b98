//! Execution of one command and output of its result.

use std::io::Write;
use std::path::Path;
use std::time::Duration;

use iristhread_api::ChatMessage;
use iristhread_api::ChatRequest;
use iristhread_api::CompletionRequest;
use iristhread_api::InstanceStatus;
use iristhread_api::Resource;
use iristhread_cli::CallRequest;
use iristhread_cli::Caller;
use iristhread_cli::CliError;
use iristhread_cli::CompletionOutcome;
use iristhread_cli::Operator;
use iristhread_cli::Target;
use iristhread_cli::explain;
use iristhread_cli::format_record;
use iristhread_core::Document;
use iristhread_core::HybridTime;
use serde::Serialize;

use crate::flags;
use crate::flags::IristhreadCmd;
use crate::log_commands;

const DEFAULT_WAIT: Duration = Duration::from_secs(60);
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Eq, PartialEq)]
enum OutputFormat {
    Text,
    Json,
}

/// Executes commands with the flags that all of them share.
pub struct Tool {
    servers: Option<String>,
    key: Option<String>,
    format: OutputFormat,
}

impl Tool {
    /// Creates a tool from the shared flags; fails if the output format is unknown.
    pub fn new(
        servers: Option<String>,
        key: Option<String>,
        output: Option<String>,
    ) -> Result<Self, CliError> {
        let format = match output.as_deref() {
            None | Some("text") => OutputFormat::Text,
            Some("json") => OutputFormat::Json,
            Some(other) => {
                let message = format!("--output is {other:?}; use text or json");
                return Err(CliError::Usage(message));
            }
        };
        Ok(Tool {
            servers,
            key,
            format,
        })
    }

    /// Executes one command.
    pub async fn run(&self, command: IristhreadCmd) -> Result<(), CliError> {
        match command {
            IristhreadCmd::Complete(flags) => self.complete(flags).await,
            IristhreadCmd::Chat(flags) => self.chat(flags).await,
            IristhreadCmd::Call(flags) => self.call(flags).await,
            IristhreadCmd::Get(flags) => self.get(&flags.kind, flags.name.as_deref()).await,
            IristhreadCmd::Watch(flags) => self.watch(flags).await,
            IristhreadCmd::Describe(flags) => self.describe(flags).await,
            IristhreadCmd::Status(_) => self.status().await,
            IristhreadCmd::Check(flags) => self.check(&flags.file),
            IristhreadCmd::Wait(flags) => self.wait(flags).await,
            IristhreadCmd::Timeline(flags) => self.timeline(flags).await,
            IristhreadCmd::Explain(flags) if !flags.logs.is_empty() => {
                log_commands::explain(&flags.id, &flags.logs)
            }
            IristhreadCmd::Explain(flags) => self.explain(&flags.id).await,
            IristhreadCmd::Beliefs(flags) => log_commands::state_changes(&flags.logs),
            IristhreadCmd::Losses(flags) => log_commands::losses(&flags),
            IristhreadCmd::HashKey(flags) => {
                println!("{}", blake3::hash(flags.key.as_bytes()).to_hex());
                Ok(())
            }
        }
    }

    fn caller(&self) -> Result<Caller, CliError> {
        let (servers, key) = (self.servers.clone(), self.key.clone());
        let target = Target::from(servers, key, "IRISTHREAD_SERVER", "IRISTHREAD_KEY")?;
        Ok(Caller::new(target))
    }

    fn operator(&self) -> Result<Operator, CliError> {
        let (servers, key) = (self.servers.clone(), self.key.clone());
        let (servers_variable, key_variable) = ("IRISTHREAD_OPERATOR", "IRISTHREAD_OPERATOR_KEY");
        let target = Target::from(servers, key, servers_variable, key_variable)?;
        Ok(Operator::new(target))
    }

    async fn complete(&self, flags: flags::Complete) -> Result<(), CliError> {
        let body = |received| CompletionRequest {
            model: flags.model.clone(),
            prompt: flags.prompt.clone(),
            max_tokens: flags.max_tokens,
            adapter: flags.adapter.clone(),
            stream: true,
            priority: None,
            received,
        };
        let outcome = self
            .caller()?
            .stream("/v1/completions", body, self.printer())
            .await?;
        self.print_stream(&outcome, flags.show_id)
    }

    async fn chat(&self, flags: flags::Chat) -> Result<(), CliError> {
        let body = |received| ChatRequest {
            model: flags.model.clone(),
            messages: vec![ChatMessage {
                role: "user".to_owned(),
                content: flags.message.clone(),
            }],
            max_tokens: flags.max_tokens,
            adapter: flags.adapter.clone(),
            stream: true,
            priority: None,
            received,
        };
        let path = "/v1/chat/completions";
        let outcome = self.caller()?.stream(path, body, self.printer()).await?;
        self.print_stream(&outcome, flags.show_id)
    }

    /// Returns a callback that prints each token on arrival; JSON output prints only the complete
    /// result.
    fn printer(&self) -> impl FnMut(&str) {
        let as_text = self.format == OutputFormat::Text;
        move |token: &str| {
            if as_text {
                print!("{token}");
                // A closed standard output is detected by the next `println!`.
                let _ = std::io::stdout().flush();
            }
        }
    }

    fn print_stream(&self, outcome: &CompletionOutcome, show_id: bool) -> Result<(), CliError> {
        if self.format == OutputFormat::Json {
            return print_json(outcome);
        }
        println!();
        if show_id {
            eprintln!("request {}", outcome.request);
        }
        Ok(())
    }

    async fn call(&self, flags: flags::Call) -> Result<(), CliError> {
        let call = CallRequest {
            service: flags.service,
            path: flags.path,
            body: flags.body,
        };
        let reply = self.caller()?.call(&call).await?;
        println!("{}", String::from_utf8_lossy(&reply.body));
        Ok(())
    }

    async fn get(&self, kind: &str, name: Option<&str>) -> Result<(), CliError> {
        let list = self.operator()?.resources(kind, name).await?;
        if self.format == OutputFormat::Json {
            return print_json(&list);
        }
        println!("# resource version {}", list.resource_version);
        for item in &list.items {
            println!("{}\t{}\t{}", item.name, item.declared, item.observed);
        }
        Ok(())
    }

    async fn watch(&self, flags: flags::Watch) -> Result<(), CliError> {
        let name = flags.name.as_deref();
        let print = |line: &str| println!("{line}");
        self.operator()?
            .watch(&flags.kind, name, flags.from, print)
            .await
    }

    async fn describe(&self, flags: flags::Describe) -> Result<(), CliError> {
        let list = self
            .operator()?
            .resources(&flags.kind, Some(&flags.name))
            .await?;
        list.items
            .iter()
            .try_for_each(|item| self.print_resource(item))
    }

    fn print_resource(&self, item: &Resource) -> Result<(), CliError> {
        if self.format == OutputFormat::Json {
            return print_json(item);
        }
        println!("name      {}", item.name);
        println!("declared  {}", item.declared);
        println!("observed  {}", item.observed);
        Ok(())
    }

    async fn status(&self) -> Result<(), CliError> {
        let statuses = self.operator()?.status().await?;
        if self.format == OutputFormat::Json {
            return print_json(&statuses);
        }
        statuses
            .iter()
            .for_each(|(name, status)| println!("{name}\t{}", format_status(status)));
        Ok(())
    }

    fn check(&self, file: &Path) -> Result<(), CliError> {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file).map_err(|error| CliError::File {
            file: name.clone(),
            cause: error.to_string(),
        })?;
        let document: Document = serde_json::from_str(&text).map_err(|error| CliError::File {
            file: name.clone(),
            cause: error.to_string(),
        })?;
        let faults = document.faults();
        for fault in &faults {
            println!("{name}: {fault}");
        }
        if faults.is_empty() {
            println!("{name}: no faults");
            return Ok(());
        }
        let count = faults.len();
        Err(CliError::Faults { file: name, count })
    }

    async fn wait(&self, flags: flags::Wait) -> Result<(), CliError> {
        let timeout = flags.timeout_ms.map_or(DEFAULT_WAIT, Duration::from_millis);
        let mut shown = None;
        let progress = |done: usize, all: usize| {
            if shown != Some((done, all)) {
                eprintln!("in force on {done} of {all} instances");
                shown = Some((done, all));
            }
        };
        self.operator()?
            .wait(flags.version, timeout, progress)
            .await
    }

    async fn timeline(&self, flags: flags::Timeline) -> Result<(), CliError> {
        let operator = self.operator()?;
        let mut after = HybridTime::default();
        loop {
            let timeline = operator.timeline(flags.request.as_deref(), after).await?;
            for record in &timeline.records {
                after = after.max(record.time);
                match self.format {
                    OutputFormat::Text => println!("{}", format_record(record)),
                    OutputFormat::Json => print_json(record)?,
                }
            }
            if !flags.follow {
                warn_unreachable(&timeline.unreachable);
                return Ok(());
            }
            tokio::time::sleep(FOLLOW_INTERVAL).await;
        }
    }

    async fn explain(&self, id: &str) -> Result<(), CliError> {
        let timeline = self
            .operator()?
            .timeline(Some(id), HybridTime::default())
            .await?;
        if self.format == OutputFormat::Json {
            return print_json(&timeline);
        }
        print!("{}", explain(&timeline.records));
        warn_unreachable(&timeline.unreachable);
        Ok(())
    }
}

fn format_status(status: &InstanceStatus) -> String {
    if !status.is_reached {
        return "not reached".to_owned();
    }
    let age = match status.config_age_ms {
        Some(age_ms) => format!("confirmed {age_ms} ms ago"),
        None => "never confirmed".to_owned(),
    };
    let refused = status.refused.as_deref().map(|r| format!("; refused: {r}"));
    format!(
        "configuration {}, {age}{}",
        status.config_version,
        refused.unwrap_or_default()
    )
}

fn warn_unreachable(instances: &[String]) {
    if !instances.is_empty() {
        eprintln!(
            "not reached, so their records are missing: {}",
            instances.join(", ")
        );
    }
}

fn print_json<Value: Serialize>(value: &Value) -> Result<(), CliError> {
    let text = serde_json::to_string(value).map_err(|error| CliError::Usage(error.to_string()))?;
    println!("{text}");
    Ok(())
}
