//! Messages of client errors, which are logged.

use http::StatusCode;
use iristhread_api::HttpClientError;

/// A body may hold a prompt or generated text, and neither may be logged.
#[test]
fn message_of_error_status_omits_body() {
    let error = HttpClientError::Status {
        uri: "http://127.0.0.1:1/generate".to_owned(),
        status: StatusCode::BAD_REQUEST,
        headers: Box::default(),
        body: "secret prompt".to_owned(),
    };
    let message = error.to_string();
    assert!(message.contains("400"), "{message}");
    assert!(!message.contains("secret"), "{message}");
}
