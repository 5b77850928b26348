//! Malformed and hostile requests get a clear 4xx, and the entry keeps serving.

use std::time;

use googletest::prelude::*;
use mustardshedd::http::limits;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net,
};

use crate::fakes::{
    entry,
    servers::{self, Step},
};

#[gtest]
#[tokio::test]
async fn malformed_bodies_get_400() -> Result<()> {
    let entry = entry::Entry::start().await;
    let bodies = [
        "",
        "{",
        "null",
        "[]",
        r#"{"model":"drafts"}"#,
        r#"{"model":7,"prompt":"a"}"#,
        r#"{"model":"drafts","prompt":""}"#,
        r#"{"model":"drafts","prompt":[]}"#,
        r#"{"model":"drafts","prompt":[-1]}"#,
        r#"{"model":"drafts","prompt":[1,"a"]}"#,
        r#"{"model":"drafts","prompt":["a","b"]}"#,
        r#"{"model":"drafts","prompt":{"a":1}}"#,
        r#"{"model":"drafts","prompt":"a","max_tokens":0}"#,
        r#"{"model":"drafts","prompt":"a","max_tokens":-4}"#,
        r#"{"model":"drafts","prompt":"a","max_tokens":1e99}"#,
        r#"{"model":"drafts","prompt":"a","stream":"yes"}"#,
        r#"{"model":"drafts","prompt":"a","n":3}"#,
        "{\"model\":\"drafts\",\"prompt\":\"\u{0}\"}",
    ];
    for body in bodies {
        let response = entry.complete(body, 5_000).await;

        verify_that!(response.status, eq(400)).with_failure_message(|| body.to_owned())?;
        verify_that!(response.code(), eq("invalid_request"))?;
        verify_that!(response.outcome(), eq("not_run"))?;
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn bad_names_keys_and_headers_get_their_codes() -> Result<()> {
    let entry = entry::Entry::start().await;
    let unknown = r#"{"model":"nobody","prompt":"a"}"#;
    let long = format!(r#"{{"model":"drafts","prompt":"{}"}}"#, "a".repeat(12_000));
    let post = || entry.request("POST", "/v1/completions");

    let cases = [
        (entry.send(post(), unknown).await, 404, "model_not_found"),
        (
            entry.send(post(), &long).await,
            400,
            "context_length_exceeded",
        ),
        (
            entry
                .send(post().header("x-deadline-ms", "soon"), entry::PROMPT)
                .await,
            400,
            "invalid_request",
        ),
        (
            entry
                .send(post().header("x-deadline-ms", "99999999"), entry::PROMPT)
                .await,
            400,
            "invalid_request",
        ),
        (
            entry
                .send(post().header("idempotency-key", ""), entry::PROMPT)
                .await,
            400,
            "invalid_request",
        ),
        (
            entry
                .send(entry.request("GET", "/v1/completions"), "")
                .await,
            405,
            "method_not_allowed",
        ),
        (
            entry.send(entry.request("GET", "/nowhere"), "").await,
            404,
            "not_found",
        ),
        (
            entry
                .send(entry.request("GET", "/services/nobody/x"), "")
                .await,
            404,
            "service_not_found",
        ),
        (
            entry
                .send(entry.request("GET", "/services/ledger/a/../b"), "")
                .await,
            400,
            "invalid_request",
        ),
        (
            entry.send(entry.request("GET", "/v1/requests/x"), "").await,
            404,
            "request_not_found",
        ),
    ];

    for (response, status, code) in cases {
        verify_that!(response.status, eq(status)).with_failure_message(|| code.to_owned())?;
        verify_that!(response.code(), eq(code))?;
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn wrong_keys_get_401() -> Result<()> {
    let entry = entry::Entry::start().await;
    let post = || {
        http::Request::builder().method("POST").uri(format!(
            "http://{}/v1/completions",
            entry.server.local_addr()
        ))
    };

    let none = entry.send(post(), entry::PROMPT).await;
    let wrong = entry
        .send(post().header("authorization", "Bearer no"), entry::PROMPT)
        .await;
    let basic = entry
        .send(post().header("authorization", "Basic abc"), entry::PROMPT)
        .await;

    for response in [none, wrong, basic] {
        verify_that!(response.status, eq(401))?;
        verify_that!(response.code(), eq("invalid_api_key"))?;
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn oversized_body_gets_413() -> Result<()> {
    let limits = limits::Limits {
        max_body_bytes: 1_000,
        ..limits::Limits::default()
    };
    let entry = entry::Entry::start_with(limits).await;
    let body = format!(r#"{{"model":"drafts","prompt":"{}"}}"#, "a".repeat(2_000));

    let response = entry.complete(&body, 5_000).await;

    verify_that!(response.status, eq(413))?;
    verify_that!(response.code(), eq("too_large"))
}

#[gtest]
#[tokio::test]
async fn malformed_http_gets_4xx_or_a_closed_connection() -> Result<()> {
    let limits = limits::Limits {
        header_timeout: time::Duration::from_millis(200),
        idle_timeout: time::Duration::from_millis(200),
        ..limits::Limits::default()
    };
    let entry = entry::Entry::start_with(limits).await;
    let huge = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(100_000));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(1_000));
    let inputs: [&[u8]; 7] = [
        b"\x00\x01\x02\x03\r\n\r\n",
        b"GET\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"POST /v1/completions HTTP/1.1\r\ncontent-length: -1\r\n\r\n",
        b"POST /v1/completions HTTP/1.1\r\nhost: a\r\n",
        huge.as_bytes(),
        many.as_bytes(),
    ];

    for input in inputs {
        let response = send_raw(&entry, input).await;

        let is_clear = response.is_empty() || response.starts_with("HTTP/1.1 4");
        verify_that!(is_clear, eq(true)).with_failure_message(|| response)?;
    }
    let after = entry.complete(entry::PROMPT, 5_000).await;
    verify_that!(after.status, eq(200))
}

#[gtest]
#[tokio::test]
async fn stalled_body_gets_400() -> Result<()> {
    let limits = limits::Limits {
        idle_timeout: time::Duration::from_millis(100),
        ..limits::Limits::default()
    };
    let entry = entry::Entry::start_with(limits).await;
    let input = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n\
         content-length: 50\r\n\r\n{{",
        entry::KEY
    );

    let response = send_raw(&entry, input.as_bytes()).await;

    verify_that!(response, starts_with("HTTP/1.1 400"))
}

#[gtest]
#[tokio::test]
async fn caller_that_never_reads_does_not_block_a_planned_stop() -> Result<()> {
    let limits = limits::Limits {
        idle_timeout: time::Duration::from_millis(200),
        ..limits::Limits::default()
    };
    let entry = entry::Entry::start_with(limits).await;
    let frames = servers::long_frames("entry-1.1.1");
    entry.servers.then(Step::Frames(frames));
    let mut stream = net::TcpStream::connect(entry.server.local_addr())
        .await
        .unwrap();
    let body = entry::STREAMED;
    let req = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n\
         content-length: {}\r\n\r\n{body}",
        entry::KEY,
        body.len()
    );
    stream.write_all(req.as_bytes()).await.unwrap();
    entry.servers.wait_for("generate").await;

    let stopped = tokio::time::timeout(time::Duration::from_secs(20), entry.server.shutdown());

    verify_that!(stopped.await.is_ok(), eq(true))
}

/// Sends bytes, keeps the connection open and returns what comes back until it is closed.
async fn send_raw(entry: &entry::Entry, input: &[u8]) -> String {
    let mut stream = net::TcpStream::connect(entry.server.local_addr())
        .await
        .unwrap();
    // The entry may close before it has read everything.
    drop(stream.write_all(input).await);
    let mut buf = Vec::new();
    let reading = stream.read_to_end(&mut buf);
    drop(tokio::time::timeout(time::Duration::from_secs(5), reading).await);
    String::from_utf8_lossy(&buf).into_owned()
}
