//! Errors sent to callers and operators, in the format of completion APIs.

use std::time::Duration;

use http::HeaderValue;
use http::StatusCode;
use http::header;
use iristhread_api::ErrorBody;
use iristhread_api::ErrorDetail;
use iristhread_api::OUTCOME_HEADER;
use iristhread_core::Outcome;
use iristhread_core::Refusal;
use iristhread_core::RefusalKind;
use viz::Body;
use viz::Response;

const INVALID_REQUEST: &str = "invalid_request_error";
const AUTHENTICATION: &str = "authentication_error";
const LIMIT: &str = "limit_error";
const SERVER: &str = "server_error";

/// An error with its HTTP status.
#[derive(Clone, Debug, PartialEq)]
pub struct ApiError {
    /// HTTP status.
    pub status: StatusCode,
    /// Body of the response.
    pub detail: Box<ErrorDetail>,
}

impl ApiError {
    /// Creates a 400 error for an invalid request; it was not run.
    pub fn invalid(code: &str, param: Option<&str>, message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, INVALID_REQUEST, code, message).with_param(param)
    }

    /// Creates a 404 error for something that the request names and that does not exist.
    pub fn not_found(code: &str, param: Option<&str>, message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::NOT_FOUND, INVALID_REQUEST, code, message).with_param(param)
    }

    /// Creates a 401 error for a missing or wrong key. The two are not distinguished, so that the
    /// answer reveals nothing about keys.
    pub fn unauthenticated() -> Self {
        let message = "a valid bearer key is needed";
        Self::not_run(
            StatusCode::UNAUTHORIZED,
            AUTHENTICATION,
            "invalid_api_key",
            message,
        )
    }

    /// Creates an error for a limit of the instance; the message names the limit.
    pub fn limit(status: StatusCode, code: &str, message: impl Into<String>) -> Self {
        Self::not_run(status, LIMIT, code, message)
    }

    /// Creates a 503 error for something that the instance can't do now; a retry is advised after
    /// 1 s.
    pub fn unavailable(code: &str, message: impl Into<String>) -> Self {
        let retry_after = Some(Duration::from_secs(1));
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, SERVER, code, message)
            .with_retry_after(retry_after)
    }

    /// Creates an error for a request that was started and whose outcome is not known.
    pub fn unknown(status: StatusCode, code: &str, message: impl Into<String>) -> Self {
        let mut error = Self::not_run(status, SERVER, code, message);
        error.detail.outcome = Outcome::Unknown;
        error
    }

    /// Creates the error for a refusal by the control thread.
    pub fn refused(refusal: &Refusal) -> Self {
        let (status, kind) = match refusal.kind {
            RefusalKind::RateLimit | RefusalKind::ConcurrencyLimit | RefusalKind::QueueFull => {
                (StatusCode::TOO_MANY_REQUESTS, LIMIT)
            }
            RefusalKind::Deadline
            | RefusalKind::NoBackend
            | RefusalKind::RetryBudget
            | RefusalKind::NotReady
            | RefusalKind::Quarantined
            | RefusalKind::Resting
            | RefusalKind::Limited
            | RefusalKind::Stopping => (StatusCode::SERVICE_UNAVAILABLE, SERVER),
        };
        let code = serde_json::to_value(refusal.kind).unwrap_or_default();
        let code = code.as_str().unwrap_or_default();
        Self::not_run(status, kind, code, refusal.message.clone())
            .with_retry_after(Some(refusal.retry_after))
    }

    /// Adds the time to wait before a retry, at least one second.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Option<Duration>) -> Self {
        self.detail.retry_after_s = retry_after.map(whole_seconds);
        self
    }

    /// Converts the error into its HTTP response.
    pub fn into_response(self) -> Response {
        let retry_after_s = self.detail.retry_after_s;
        let outcome = self.detail.outcome;
        let unauthenticated = self.status == StatusCode::UNAUTHORIZED;
        let body = serde_json::to_vec(&ErrorBody {
            error: *self.detail,
        })
        .unwrap_or_default();
        let mut response = Response::new(Body::Full(body.into()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.as_str()));
        if let Some(seconds) = retry_after_s {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if unauthenticated {
            let scheme = HeaderValue::from_static("Bearer");
            headers.insert(header::WWW_AUTHENTICATE, scheme);
        }
        response
    }

    fn not_run(status: StatusCode, kind: &str, code: &str, message: impl Into<String>) -> Self {
        ApiError {
            status,
            detail: Box::new(ErrorDetail {
                message: message.into(),
                kind: kind.to_owned(),
                param: None,
                code: code.to_owned(),
                outcome: Outcome::NotRun,
                retry_after_s: None,
            }),
        }
    }

    fn with_param(mut self, param: Option<&str>) -> Self {
        self.detail.param = param.map(str::to_owned);
        self
    }
}

/// Rounds a time up to whole seconds, at least one, so that a retry never comes too early.
pub fn whole_seconds(time: Duration) -> u64 {
    time.as_secs_f64().ceil().max(1.0) as u64
}
