//! Completion requests in the OpenAI format.

use mustardshed::core::{error, ids};

use crate::http::prompt;

/// Default output length of a text completion, in tokens.
const DEFAULT_COMPLETION_TOKENS: ids::Tokens = 16;
/// Default output length of a chat completion, in tokens.
const DEFAULT_CHAT_TOKENS: ids::Tokens = 256;

/// API that a completion request uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Api {
    /// `POST /v1/completions`.
    Completions,
    /// `POST /v1/chat/completions`.
    Chat,
}

/// A completion request, the same for both APIs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GenerateRequest {
    /// Model, or service backed by a model.
    pub model: String,
    /// Prompt.
    pub prompt: prompt::Prompt,
    /// Maximum output length, in tokens.
    pub max_tokens: ids::Tokens,
    /// Whether the output is streamed.
    pub is_streamed: bool,
    /// Whether a stream ends with a chunk of the token usage.
    pub includes_usage: bool,
}

#[derive(serde::Deserialize)]
struct CompletionBody {
    model: String,
    prompt: prompt::Prompt,
    max_tokens: Option<ids::Tokens>,
    #[serde(flatten)]
    common: Common,
}

#[derive(serde::Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<Message>,
    max_tokens: Option<ids::Tokens>,
    max_completion_tokens: Option<ids::Tokens>,
    #[serde(flatten)]
    common: Common,
}

/// Fields that both APIs have.
#[derive(serde::Deserialize)]
struct Common {
    stream: Option<bool>,
    stream_options: Option<StreamOptions>,
    n: Option<u32>,
    best_of: Option<u32>,
    echo: Option<bool>,
    stop: Option<serde_json::Value>,
    suffix: Option<String>,
    logprobs: Option<serde_json::Value>,
    tools: Option<serde_json::Value>,
    response_format: Option<serde_json::Value>,
}

#[derive(serde::Deserialize)]
struct StreamOptions {
    include_usage: Option<bool>,
}

#[derive(serde::Deserialize)]
struct Message {
    role: Role,
    content: Content,
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "lowercase")]
enum Role {
    Assistant,
    Developer,
    System,
    User,
}

#[derive(serde::Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "lowercase", tag = "type")]
enum Part {
    Text { text: String },
}

impl GenerateRequest {
    /// Parses the body of a completion request.
    ///
    /// # Errors
    ///
    /// Returns [`error::ErrorKind::InvalidRequest`] naming what is wrong.
    pub fn parse(api: Api, body: &[u8]) -> Result<Self, error::Error> {
        match api {
            Api::Completions => Self::from_completion(parse(body)?),
            Api::Chat => Self::from_chat(parse(body)?),
        }
    }

    fn from_completion(body: CompletionBody) -> Result<Self, error::Error> {
        let max_tokens = body.max_tokens.unwrap_or(DEFAULT_COMPLETION_TOKENS);
        Self::new(body.model, body.prompt, max_tokens, &body.common)
    }

    fn from_chat(body: ChatBody) -> Result<Self, error::Error> {
        if body.messages.is_empty() {
            return Err(invalid("messages is empty"));
        }
        let max_tokens = body
            .max_completion_tokens
            .or(body.max_tokens)
            .unwrap_or(DEFAULT_CHAT_TOKENS);
        let prompt = prompt::Prompt::Text(render(&body.messages));
        Self::new(body.model, prompt, max_tokens, &body.common)
    }

    fn new(
        model: String,
        prompt: prompt::Prompt,
        max_tokens: ids::Tokens,
        common: &Common,
    ) -> Result<Self, error::Error> {
        common.check()?;
        if max_tokens == 0 {
            return Err(invalid("max_tokens is zero"));
        }
        if prompt.tokens(1) == 0 {
            return Err(invalid("the prompt is empty"));
        }
        let usage = common.stream_options.as_ref();
        Ok(Self {
            model,
            prompt,
            max_tokens,
            is_streamed: common.stream.unwrap_or(false),
            includes_usage: usage.is_some_and(|o| o.include_usage.unwrap_or(false)),
        })
    }
}

impl Common {
    /// Rejects unsupported parameters that would change the output; sampling parameters are
    /// ignored, since engines are deterministic.
    fn check(&self) -> Result<(), error::Error> {
        let is_set = |value: &Option<serde_json::Value>| {
            value.as_ref().is_some_and(|value| {
                *value != serde_json::Value::Null && *value != serde_json::Value::Bool(false)
            })
        };
        if self.n.is_some_and(|n| n != 1) || self.best_of.is_some_and(|n| n != 1) {
            return Err(invalid("n and best_of other than 1 are not supported"));
        }
        if self.echo == Some(true) || self.suffix.as_ref().is_some_and(|s| !s.is_empty()) {
            return Err(invalid("echo and suffix are not supported"));
        }
        if is_set(&self.stop) || is_set(&self.logprobs) {
            return Err(invalid("stop and logprobs are not supported"));
        }
        if is_set(&self.tools) || is_set(&self.response_format) {
            return Err(invalid("tools and response_format are not supported"));
        }
        Ok(())
    }
}

/// Renders chat messages as one prompt.
///
/// Each message becomes a line `<|ROLE|>`, its text and a newline; the prompt ends with
/// `<|assistant|>` and a newline.
fn render(messages: &[Message]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(message.role.tag());
        prompt.push('\n');
        match &message.content {
            Content::Text(text) => prompt.push_str(text),
            Content::Parts(parts) => {
                for Part::Text { text } in parts {
                    prompt.push_str(text);
                }
            }
        }
        prompt.push('\n');
    }
    prompt.push_str(Role::Assistant.tag());
    prompt.push('\n');
    prompt
}

impl Role {
    const fn tag(&self) -> &'static str {
        match self {
            Self::Assistant => "<|assistant|>",
            Self::Developer | Self::System => "<|system|>",
            Self::User => "<|user|>",
        }
    }
}

fn parse<'a, T: serde::Deserialize<'a>>(body: &'a [u8]) -> Result<T, error::Error> {
    serde_json::from_slice(body).map_err(|err| invalid(&format!("the body is not valid: {err}")))
}

fn invalid(message: &str) -> error::Error {
    error::Error::not_run(error::ErrorKind::InvalidRequest, message)
}
