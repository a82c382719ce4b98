//! Limits per workspace: requests per second and concurrently open requests.

use std::collections::HashMap;
use std::time::Duration;

use crate::Now;
use crate::Refusal;
use crate::RefusalKind;
use crate::TokenBucket;
use crate::Workspace;
use crate::WorkspaceId;

/// `Retry-After` of a refusal by the concurrency limit: there is no better estimate of when an
/// open request ends.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Usage {
    open: u32,
    bucket: TokenBucket,
}

/// Open requests and request rates of each workspace, as counted by this instance.
#[derive(Debug, Default)]
pub struct Admission {
    usage: HashMap<WorkspaceId, Usage>,
}

impl Admission {
    /// Admits one request, which stays open until [`Admission::close`].
    ///
    /// # Errors
    ///
    /// A [`Refusal`] that names the exceeded limit and the time after which to retry.
    pub fn open(&mut self, now: Now, workspace: &Workspace) -> Result<(), Refusal> {
        let rate = f64::from(workspace.max_requests_per_s);
        let usage = self
            .usage
            .entry(workspace.name.clone())
            .or_insert_with(|| Usage {
                open: 0,
                bucket: TokenBucket::new(now, rate),
            });
        if usage.open >= workspace.max_open_requests {
            let limit = workspace.max_open_requests;
            return Err(Refusal::new(
                RefusalKind::ConcurrencyLimit,
                CONCURRENCY_RETRY_AFTER,
                format!("the workspace has {limit} requests open, its limit max_open_requests"),
            ));
        }
        usage.bucket.set_rate(rate);
        usage.bucket.take(now).map_err(|wait| {
            let limit = workspace.max_requests_per_s;
            Refusal::new(
                RefusalKind::RateLimit,
                wait,
                format!(
                    "the workspace is over {limit} requests a second, its limit max_requests_per_s"
                ),
            )
        })?;
        usage.open += 1;
        Ok(())
    }

    /// Closes one open request of the workspace.
    pub fn close(&mut self, workspace: &str) {
        if let Some(usage) = self.usage.get_mut(workspace) {
            usage.open = usage.open.saturating_sub(1);
        }
    }

    /// Number of open requests of the workspace.
    pub fn open_requests(&self, workspace: &str) -> u32 {
        self.usage.get(workspace).map_or(0, |usage| usage.open)
    }
}
