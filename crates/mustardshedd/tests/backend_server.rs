//! Client of backend servers against a stand-in engine and canned responses.

#![expect(clippy::unwrap_used, reason = "fixtures of tests")]

use std::net;

use bytes::Bytes;
use futures_util::StreamExt;
use googletest::prelude::*;
use mustardshed::core::boundary::backend_server::{
    BackendServer, BackendServerError, EngineRequest, Order, PromptFormat, ServiceCall, TokenFrame,
    TokenStream,
};
use mustardshed_standins::{
    engine::{server, settings},
    oracle,
};
use mustardshedd::connection::backend_server;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net as tokio_net,
};

const PROMPT: &str = "compare the second chapter";

fn request(id: &str) -> EngineRequest {
    EngineRequest {
        id: id.to_owned(),
        model: String::from("draft"),
        prompt: Bytes::from_static(PROMPT.as_bytes()),
        prompt_format: PromptFormat::Text,
        prompt_tokens: 7,
        max_tokens: 6,
        offset: 0,
        priority: 0,
        gang: Vec::new(),
    }
}

fn call(path: &str) -> ServiceCall {
    ServiceCall {
        id: String::from("vm1.1.9"),
        method: String::from("POST"),
        path: path.to_owned(),
        content_type: None,
        body: Bytes::from_static(b"{}"),
    }
}

fn client() -> backend_server::Client {
    backend_server::open(backend_server::Timeouts::default())
}

async fn engine() -> (server::Engine, String) {
    let settings = settings::Settings {
        time_scale: 100.0,
        ..settings::Settings::default()
    };
    let engine = server::Engine::bind(settings).await.unwrap();
    let address = engine.address().to_string();
    (engine, address)
}

/// Writes `response` to the first connection, whatever it requests, and closes it.
///
/// Returns the address to connect to.
async fn canned(response: Vec<u8>) -> String {
    let loopback = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = tokio_net::TcpListener::bind(loopback).await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4096];
        let read = stream.read(&mut buf).await.unwrap();
        assert!(read > 0);
        stream.write_all(&response).await.unwrap();
    });
    address
}

async fn read_all(stream: TokenStream) -> (Vec<TokenFrame>, Option<BackendServerError>) {
    let items: Vec<_> = stream.collect().await;
    let mut frames = Vec::new();
    for item in items {
        match item {
            Ok(frame) => frames.push(frame),
            Err(e) => return (frames, Some(e)),
        }
    }
    (frames, None)
}

fn text(frames: &[TokenFrame]) -> String {
    frames.iter().map(|frame| frame.text.as_str()).collect()
}

#[tokio::test]
async fn output_arrives_complete_and_with_its_id() {
    let (_engine, address) = engine().await;

    let stream = client().generate(&address, request("vm1.1.1")).await;
    let (frames, error) = read_all(stream.unwrap()).await;

    assert_that!(error, none());
    let expected = oracle::Oracle::of_text(PROMPT).text(0, 6);
    assert_that!(text(&frames), eq(&expected));
    assert!(frames.iter().all(|frame| frame.id == "vm1.1.1"));
    assert_that!(frames[5].finish.as_deref(), some(eq("length")));
}

#[tokio::test]
async fn a_prompt_of_token_numbers_is_sent_as_integers() {
    let (_engine, address) = engine().await;
    let tokens = [1_u32, 700, u32::MAX];
    let bytes: Vec<u8> = tokens.iter().flat_map(|t| t.to_le_bytes()).collect();
    let req = EngineRequest {
        prompt: Bytes::from(bytes),
        prompt_format: PromptFormat::Tokens,
        ..request("vm1.1.1")
    };

    let stream = client().generate(&address, req).await;
    let (frames, error) = read_all(stream.unwrap()).await;

    assert_that!(error, none());
    let expected = oracle::Oracle::of_tokens(&tokens).text(0, 6);
    assert_that!(text(&frames), eq(&expected));
}

#[tokio::test]
async fn a_stream_resumes_at_an_offset() {
    let (_engine, address) = engine().await;
    let client = client();
    let stream = client.generate(&address, request("vm1.1.1")).await;
    drop(stream.unwrap());

    let id = String::from("vm1.1.1");
    let resumed = client.resume(&address, &id, 4).await.unwrap();
    let (frames, error) = read_all(resumed).await;

    assert_that!(error, none());
    let expected = oracle::Oracle::of_text(PROMPT).text(4, 6);
    assert_that!(text(&frames), eq(&expected));
}

#[tokio::test]
async fn a_refused_connection_is_unreachable() {
    let (engine, address) = engine().await;
    drop(engine);
    tokio::task::yield_now().await;

    let generated = client().generate(&address, request("vm1.1.1")).await;

    assert!(matches!(
        generated.err(),
        Some(BackendServerError::Unreachable(_))
    ));
}

#[tokio::test]
async fn refusals_keep_their_reason() {
    let (_engine, address) = engine().await;
    let client = client();
    let unknown = EngineRequest {
        model: String::from("unheard-of"),
        ..request("vm1.1.1")
    };
    let large = EngineRequest {
        max_tokens: 10_000_000,
        ..request("vm1.1.2")
    };

    let no_model = client.generate(&address, unknown).await.err();
    let no_memory = client.generate(&address, large).await.err();

    let refused = |reason: &str| Some(BackendServerError::Refused(reason.to_owned()));
    assert_that!(no_model, eq(&refused("no_such_model")));
    assert_that!(no_memory, eq(&refused("no_memory")));
}

#[tokio::test]
async fn an_older_fencing_number_is_refused() {
    let (_engine, address) = engine().await;
    let client = client();
    let order = Order::LoadModel {
        model: String::from("draft"),
        version: String::from("2"),
    };
    client.order(&address, 7, order.clone()).await.unwrap();

    let older = client.order(&address, 6, order).await;

    let refused = BackendServerError::Refused(String::from("old_fence"));
    assert_that!(older, err(eq(&refused)));
}

#[tokio::test]
async fn reservations_show_in_the_load_report_until_released() {
    let (_engine, address) = engine().await;
    let client = client();
    let id = String::from("vm1.1.1");
    client.reserve(&address, &id, 500).await.unwrap();
    client.reserve(&address, &id, 500).await.unwrap();

    let refused = client.reserve(&address, &id, 10_000_000).await;
    client.release(&address, &id).await.unwrap();
    client.release(&address, &id).await.unwrap();
    client.cancel(&address, &id).await.unwrap();
    let report = client.load(&address).await.unwrap();

    assert!(matches!(refused, Err(BackendServerError::Refused(_))));
    assert_that!(report.memory_tokens, eq(400_000));
}

#[tokio::test]
async fn a_stream_that_ends_without_its_last_event_is_broken() {
    let frame = r#"data: {"id":"vm1.1.1","offset":0,"text":"w1 ","finish_reason":null,"epoch":1}"#;
    let response = format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n: note\r\n{frame}\r\n\r\n");
    let address = canned(response.into_bytes()).await;

    let stream = client().generate(&address, request("vm1.1.1")).await;
    let (frames, error) = read_all(stream.unwrap()).await;

    assert_that!(text(&frames), eq("w1 "));
    assert!(matches!(error, Some(BackendServerError::Broken(_))));
}

#[tokio::test]
async fn a_stream_with_an_overlong_line_is_broken() {
    let mut response = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\ndata: ".to_vec();
    response.resize(response.len() + (80 << 10), b'x');
    let address = canned(response).await;

    let stream = client().generate(&address, request("vm1.1.1")).await;
    let (frames, error) = read_all(stream.unwrap()).await;

    assert_that!(frames, is_empty());
    assert!(matches!(error, Some(BackendServerError::Broken(_))));
}

#[tokio::test]
async fn a_connection_that_closes_without_a_response_is_broken() {
    let address = canned(Vec::new()).await;

    let generated = client().generate(&address, request("vm1.1.1")).await;

    assert!(matches!(
        generated.err(),
        Some(BackendServerError::Broken(_))
    ));
}

#[tokio::test]
async fn the_response_of_a_service_is_returned_whatever_its_status() {
    let response =
        b"HTTP/1.1 503 Busy\r\ncontent-type: text/plain\r\ncontent-length: 4\r\n\r\nbusy";
    let address = canned(response.to_vec()).await;

    let resp = client().call(&address, call("/charge")).await.unwrap();

    assert_that!(resp.status, eq(503));
    assert_that!(resp.content_type.as_deref(), some(eq("text/plain")));
    assert_that!(resp.body.as_ref(), eq(b"busy"));
}

#[tokio::test]
async fn the_epoch_of_a_service_response_is_read() {
    let response = b"HTTP/1.1 200 OK\r\nx-epoch: 7\r\ncontent-length: 2\r\n\r\nok";
    let address = canned(response.to_vec()).await;

    let resp = client().call(&address, call("/charge")).await.unwrap();

    assert_that!(resp.epoch, some(eq(7)));
}

#[tokio::test]
async fn an_overlong_service_response_is_broken() {
    let mut response = b"HTTP/1.1 200 OK\r\ncontent-length: 1048577\r\n\r\n".to_vec();
    response.resize(response.len() + (1 << 20) + 1, b'x');
    let address = canned(response).await;

    let resp = client().call(&address, call("/charge")).await;

    assert!(matches!(resp, Err(BackendServerError::Broken(_))));
}
