//! Outputs in the OpenAI format, as one body or streamed.

use std::time;

use bytes::Bytes;
use mustardshed::core::{ids, request::fate};

use crate::{
    http::{generate_request, reply},
    request::{full_output, output},
};

/// Formats the output of one request.
#[derive(Clone, Debug)]
pub struct OutputFormat {
    api: generate_request::Api,
    id: ids::RequestId,
    model: ids::ModelId,
    created: u64,
    prompt_tokens: ids::Tokens,
    /// Start of every streamed chunk, up to its `choices`.
    chunk_prefix: Vec<u8>,
}

#[derive(serde::Serialize)]
struct ChunkHead<'a> {
    id: &'a str,
    object: &'a str,
    created: u64,
    model: &'a str,
}

#[derive(serde::Serialize)]
struct WholeBody<'a> {
    #[serde(flatten)]
    head: ChunkHead<'a>,
    choices: [WholeChoice<'a>; 1],
    usage: Usage,
}

#[derive(serde::Serialize)]
struct WholeChoice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<WholeMessage<'a>>,
    logprobs: Option<()>,
    finish_reason: &'a str,
}

#[derive(serde::Serialize)]
struct WholeMessage<'a> {
    role: &'a str,
    content: &'a str,
}

#[derive(serde::Serialize)]
struct Usage {
    prompt_tokens: ids::Tokens,
    completion_tokens: ids::Tokens,
    total_tokens: ids::Tokens,
}

impl OutputFormat {
    /// Creates the format for a request; `model` is the name that the caller used.
    pub fn new(
        api: generate_request::Api,
        id: ids::RequestId,
        model: ids::ModelId,
        prompt_tokens: ids::Tokens,
    ) -> Self {
        let created = time::SystemTime::now()
            .duration_since(time::UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_secs());
        let mut format = Self {
            api,
            id,
            model,
            created,
            prompt_tokens,
            chunk_prefix: Vec::new(),
        };
        format.chunk_prefix = format.render_chunk_prefix();
        format
    }

    /// Appends one chunk as a server-sent event; `is_first` marks the first chunk of a stream.
    pub fn write_chunk(&self, buf: &mut Vec<u8>, chunk: &output::Chunk, is_first: bool) {
        buf.extend_from_slice(&self.chunk_prefix);
        match self.api {
            generate_request::Api::Completions => {
                buf.extend_from_slice(br#","choices":[{"index":0,"text":"#);
                write_string(buf, &chunk.text);
            }
            generate_request::Api::Chat => {
                buf.extend_from_slice(br#","choices":[{"index":0,"delta":{"#);
                if is_first {
                    buf.extend_from_slice(br#""role":"assistant","#);
                }
                buf.extend_from_slice(br#""content":"#);
                write_string(buf, &chunk.text);
                buf.push(b'}');
            }
        }
        buf.extend_from_slice(br#","logprobs":null,"finish_reason":"#);
        match &chunk.finish {
            Some(finish) => write_string(buf, finish),
            None => buf.extend_from_slice(b"null"),
        }
        buf.extend_from_slice(b"}]}\n\n");
    }

    /// Appends the usage as a server-sent event.
    pub fn write_usage(&self, buf: &mut Vec<u8>, tokens: ids::Tokens) {
        buf.extend_from_slice(&self.chunk_prefix);
        buf.extend_from_slice(br#","choices":[],"usage":"#);
        // Serializing numbers to memory cannot fail.
        drop(serde_json::to_writer(&mut *buf, &self.usage(tokens)));
        buf.extend_from_slice(b"}\n\n");
    }

    /// Returns the start of every chunk: `data: ` and the fields that do not change.
    fn render_chunk_prefix(&self) -> Vec<u8> {
        let object = match self.api {
            generate_request::Api::Completions => "text_completion",
            generate_request::Api::Chat => "chat.completion.chunk",
        };
        let mut buf = b"data: ".to_vec();
        drop(serde_json::to_writer(&mut buf, &self.head(object)));
        // Removes the closing brace; the choices follow.
        buf.pop();
        buf
    }

    const fn head<'a>(&'a self, object: &'a str) -> ChunkHead<'a> {
        ChunkHead {
            id: self.id.as_str(),
            object,
            created: self.created,
            model: self.model.as_str(),
        }
    }

    const fn usage(&self, tokens: ids::Tokens) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: tokens,
            total_tokens: self.prompt_tokens + tokens,
        }
    }

    /// Returns the body for a full output.
    pub fn whole(&self, whole: &full_output::FullOutput) -> Bytes {
        let (object, text, message) = match self.api {
            generate_request::Api::Completions => ("text_completion", Some(&*whole.text), None),
            generate_request::Api::Chat => {
                let message = WholeMessage {
                    role: "assistant",
                    content: &whole.text,
                };
                ("chat.completion", None, Some(message))
            }
        };
        let body = WholeBody {
            head: self.head(object),
            choices: [WholeChoice {
                index: 0,
                text,
                message,
                logprobs: None,
                finish_reason: &whole.finish,
            }],
            usage: self.usage(whole.tokens),
        };
        serde_json::to_vec(&body).unwrap_or_default().into()
    }
}

impl full_output::ResponseFormat for OutputFormat {
    fn response(&self, whole: &full_output::FullOutput) -> fate::StoredResponse {
        fate::StoredResponse {
            status: http::StatusCode::OK.as_u16(),
            content_type: Some(reply::JSON.to_owned()),
            body: self.whole(whole),
        }
    }
}

fn write_string(buf: &mut Vec<u8>, text: &str) {
    // Serializing a string to memory cannot fail.
    drop(serde_json::to_writer(buf, text));
}
