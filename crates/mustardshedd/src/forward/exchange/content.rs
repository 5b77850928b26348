//! The content of a request, by which its repeats are recognized.

use std::sync;

use bytes::Bytes;
use mustardshed::core::{
    forward::{head, repeated_crashes},
    ids,
};

/// What a server is given to answer; not who asks, under which identifier or until when.
#[derive(Debug)]
pub struct Content {
    method: http::Method,
    host: String,
    path_and_query: String,
    model: String,
    prompt_parts: Vec<ids::PromptPartId>,
    body: Bytes,
    fingerprint: sync::OnceLock<repeated_crashes::Fingerprint>,
}

impl Content {
    /// Creates the content of a request to `host`.
    #[must_use]
    pub fn new(
        host: &str,
        parts: &http::request::Parts,
        head: &head::RequestHead,
        body: &Bytes,
    ) -> Self {
        let path_and_query = parts.uri.path_and_query();
        Self {
            method: parts.method.clone(),
            host: host.to_ascii_lowercase(),
            path_and_query: path_and_query.map_or("/", |path| path.as_str()).to_owned(),
            model: head.model.clone().unwrap_or_default(),
            prompt_parts: head.prompt_parts.clone(),
            body: body.clone(),
            fingerprint: sync::OnceLock::new(),
        }
    }

    /// Returns the parts of the prompt; the last one is the request's own.
    #[must_use]
    pub fn prompt_parts(&self) -> &[ids::PromptPartId] {
        &self.prompt_parts
    }

    /// Returns the parts of the prompt that other requests may have as well.
    #[must_use]
    pub fn shared_parts(&self) -> &[ids::PromptPartId] {
        let split = self.prompt_parts.split_last();
        split.map_or(&[], |(_, shared)| shared)
    }

    /// Returns whether it is usual that several clients send the same request.
    #[must_use]
    pub const fn is_common(&self) -> bool {
        self.prompt_parts.is_empty()
    }

    /// Returns the fingerprint, which is computed when it is first needed.
    #[must_use]
    pub fn fingerprint(&self) -> repeated_crashes::Fingerprint {
        *self.fingerprint.get_or_init(|| self.compute_fingerprint())
    }

    fn compute_fingerprint(&self) -> repeated_crashes::Fingerprint {
        if self.prompt_parts.is_empty() {
            return repeated_crashes::Fingerprint::new(&[
                self.method.as_str().as_bytes(),
                self.host.as_bytes(),
                self.path_and_query.as_bytes(),
                &self.body,
            ]);
        }
        let parts = self.prompt_parts.iter().map(String::as_bytes);
        let others = [self.model.as_bytes(), &self.body];
        let fields: Vec<&[u8]> = others.into_iter().chain(parts).collect();
        repeated_crashes::Fingerprint::new(&fields)
    }
}
