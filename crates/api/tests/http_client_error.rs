//! What an error shows, since errors are logged.

use http::StatusCode;
use iristhread_api::HttpClientError;

/// A body may hold a prompt or an answer, and neither is ever logged.
#[test]
fn a_refusal_does_not_show_its_body() {
    let error = HttpClientError::Status {
        uri: "http://127.0.0.1:1/generate".to_owned(),
        status: StatusCode::BAD_REQUEST,
        headers: Box::default(),
        body: "secret prompt".to_owned(),
    };
    let shown = error.to_string();
    assert!(shown.contains("400"), "{shown}");
    assert!(!shown.contains("secret"), "{shown}");
}
