//! Builds one HTTP request of a test.

use http::Request;
use http_body_util::Full;
use hyper::body::Bytes;

use crate::scene::CALLER_KEY;
use crate::scene::OPERATOR_KEY;

/// A request to an instance. Key, headers, method and body can be set to invalid values.
#[derive(Clone, Debug)]
pub struct TestRequest {
    method: &'static str,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
    pub(crate) to_operators: bool,
}

impl TestRequest {
    /// Creates a `POST` to the callers' address with the key of the workspace `quotes`.
    pub fn post(path: &str, body: impl Into<Bytes>) -> Self {
        TestRequest {
            method: "POST",
            path: path.to_owned(),
            headers: Vec::new(),
            body: body.into(),
            to_operators: false,
        }
        .key(CALLER_KEY)
    }

    /// Creates a `GET` to the operators' address with the operator's key.
    pub fn operator(path: &str) -> Self {
        TestRequest {
            method: "GET",
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
            to_operators: true,
        }
        .key(OPERATOR_KEY)
    }

    /// Replaces the key; an empty key removes the header.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        self.headers.retain(|(name, _)| name != "authorization");
        if !key.is_empty() {
            self = self.header("authorization", &format!("Bearer {key}"));
        }
        self
    }

    /// Adds a header; a header of the same name is kept.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Replaces the HTTP method.
    #[must_use]
    pub fn method(mut self, method: &'static str) -> Self {
        self.method = method;
        self
    }

    pub(crate) fn request(&self, base: &str) -> Request<Full<Bytes>> {
        let mut builder = Request::builder()
            .method(self.method)
            .uri(format!("{base}{}", self.path));
        for (name, value) in &self.headers {
            builder = builder.header(name, value);
        }
        let body = Full::new(self.body.clone());
        // An invalid request is a fault of the test: it is replaced by an empty request,
        // which gets no answer.
        builder.body(body).unwrap_or_default()
    }
}
