//! The platform as one entry sees it: the addresses of servers are those of the entry's paths.

use std::{convert, net, sync};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{body, server::conn::http1, service};
use hyper_util::{client::legacy, rt};
use tokio::task;

type Body = http_body_util::Full<Bytes>;
type Client = legacy::Client<legacy::connect::HttpConnector, body::Incoming>;

/// A running view, which stops when dropped.
#[derive(Debug)]
pub(crate) struct View {
    pub(crate) address: net::SocketAddr,
    accepting: task::JoinHandle<()>,
}

impl Drop for View {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

#[derive(Debug)]
struct Cx {
    platform: String,
    /// Addresses of servers, and those of the paths to them.
    replaced: Vec<(String, String)>,
    client: Client,
}

impl View {
    /// Opens a view of the platform at `platform` (`host:port`) with these addresses replaced.
    pub(crate) async fn open(
        platform: &str,
        replaced: Vec<(net::SocketAddr, net::SocketAddr)>,
    ) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let cx = sync::Arc::new(Cx {
            platform: platform.to_owned(),
            replaced: replaced
                .iter()
                .map(|(server, path)| (format!("\"{server}\""), format!("\"{path}\"")))
                .collect(),
            client: legacy::Client::builder(rt::TokioExecutor::new()).build_http(),
        });
        Self {
            address,
            accepting: task::spawn(accept(listener, cx)),
        }
    }
}

async fn accept(listener: tokio::net::TcpListener, cx: sync::Arc<Cx>) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let cx = sync::Arc::clone(&cx);
        task::spawn(async move {
            let answering = service::service_fn(move |req| answer(sync::Arc::clone(&cx), req));
            let served =
                http1::Builder::new().serve_connection(rt::TokioIo::new(stream), answering);
            drop(served.await);
        });
    }
}

async fn answer(
    cx: sync::Arc<Cx>,
    mut req: http::Request<body::Incoming>,
) -> Result<http::Response<Body>, convert::Infallible> {
    let path = req.uri().path_and_query().unwrap().to_string();
    *req.uri_mut() = format!("http://{}{path}", cx.platform).parse().unwrap();
    let Ok(res) = cx.client.request(req).await else {
        return Ok(unavailable());
    };
    let (mut parts, body) = res.into_parts();
    let Ok(body) = body.collect().await else {
        return Ok(unavailable());
    };
    let mut text = String::from_utf8(body.to_bytes().to_vec()).unwrap();
    for (server, path) in &cx.replaced {
        text = text.replace(server, path);
    }
    parts.headers.remove(http::header::CONTENT_LENGTH);
    parts.headers.remove(http::header::TRANSFER_ENCODING);
    Ok(http::Response::from_parts(parts, Bytes::from(text).into()))
}

fn unavailable() -> http::Response<Body> {
    let mut res = http::Response::new(Bytes::new().into());
    *res.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
    res
}
