//! Operators' calls to an entry over HTTP.

use std::time;

use googletest::prelude::*;
use mustardshed::core::version::record;
use mustardshedctl::entries::{self, Entries};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net, task,
};

const REFUSAL: &str = r#"{"error":{"message":"generation 9 is in force","type":"invalid_request_error","code":"configuration_conflict"},"outcome":"not_run"}"#;
const STATUS: &str = r#"{"vm":"entry-1","incarnation":3,"data_centre":"oak","generation":9,"may_place_ms":1900,"leaving":false,"data_centres_out":["elm"],"members":[],"servers":[],"platform_calls":{"members":4},"later_key":1}"#;

/// Serves one call; the task returns the request as it was received.
async fn serve_once(
    status: u16,
    body: &'static str,
) -> std::io::Result<(String, task::JoinHandle<std::io::Result<String>>)> {
    let listener = net::TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    let served = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await?;
        let mut buf = vec![0; 4096];
        let len = stream.read(&mut buf).await?;
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(body.as_bytes()).await?;
        buf.truncate(len);
        Ok(String::from_utf8_lossy(&buf).into_owned())
    });
    Ok((address, served))
}

fn client(timeout_ms: u64) -> std::result::Result<entries::Client, entries::OpenError> {
    entries::Client::open("operators-own-key", time::Duration::from_millis(timeout_ms))
}

fn record() -> record::Record {
    record::Record {
        generation: 2,
        text: String::new(),
        data_centres_out: std::collections::BTreeSet::new(),
        nonce: "n".to_owned(),
        author: "operator".to_owned(),
    }
}

#[googletest::test]
#[tokio::test]
async fn the_key_is_sent_and_the_status_is_read() -> Result<()> {
    let (address, served) = serve_once(200, STATUS).await.or_fail()?;

    let status = client(60_000).or_fail()?.status(&address).await;

    let sent = served.await.or_fail()?.or_fail()?;
    expect_that!(sent, starts_with("GET /operator/status HTTP/1.1\r\n"));
    expect_that!(
        sent,
        contains_substring("authorization: Bearer operators-own-key\r\n")
    );
    expect_that!(status.map(|status| status.generation), ok(eq(&9)));
    Ok(())
}

#[googletest::test]
#[tokio::test]
async fn a_refused_intent_differs_from_an_invalid_response_and_from_none() -> Result<()> {
    let client = client(60_000).or_fail()?;
    let (refusing, _) = serve_once(409, REFUSAL).await.or_fail()?;
    let (invalid, _) = serve_once(500, "<html>").await.or_fail()?;
    let closed = net::TcpListener::bind("127.0.0.1:0").await.or_fail()?;
    let gone = closed.local_addr().or_fail()?.to_string();
    drop(closed);

    let refused = client.intent(&refusing, &record()).await;
    let unreadable = client.intent(&invalid, &record()).await;
    let unanswered = client.intent(&gone, &record()).await;

    expect_that!(refused.map_err(|err| err.is_conflict()), err(is_true()));
    expect_that!(
        unreadable,
        err(matches_pattern!(
            entries::EntryError::InvalidResponse { .. }
        ))
    );
    expect_that!(
        unanswered,
        err(matches_pattern!(entries::EntryError::Unanswered(_)))
    );
    Ok(())
}

#[googletest::test]
#[tokio::test]
async fn a_call_times_out_if_the_entry_accepts_but_does_not_respond() -> Result<()> {
    let listener = net::TcpListener::bind("127.0.0.1:0").await.or_fail()?;
    let address = listener.local_addr().or_fail()?.to_string();

    let status = client(50).or_fail()?.status(&address).await;

    expect_that!(
        status,
        err(eq(&entries::EntryError::Unanswered("timed out".to_owned())))
    );
    Ok(())
}

#[googletest::test]
fn an_unusable_key_is_refused_and_no_key_is_shown() {
    let client = client(1);

    expect_that!(
        entries::Client::open("", time::Duration::ZERO).err(),
        some(anything())
    );
    expect_that!(
        entries::Client::open("a\nb", time::Duration::ZERO).err(),
        some(anything())
    );
    expect_that!(
        format!("{client:?}"),
        not(contains_substring("operators-own-key"))
    );
}
