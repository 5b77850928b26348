//! Implementation of the backend server boundary over HTTP.

use std::time;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::body;
use hyper_util::{client::legacy, rt};
use mustardshed::core::{
    boundary::backend_server::{
        BackendServer, BackendServerError, EngineRequest, LoadReport, Order, ServiceCall,
        ServiceResponse, TokenStream,
    },
    ids,
};
use serde::Serialize;

use crate::connection::backend_server::{
    body as whole_body, failure, timeouts, token_stream, wire,
};

/// Greatest number of idle connections that are kept to one backend server.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Longest time for which an idle connection is kept.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Size of the read buffer of a connection, in bytes, at most.
const MAX_READ_BUFFER_BYTES: usize = 128 << 10;

const REQUEST_ID: &str = "x-request-id";
const EPOCH: &str = "x-epoch";
const JSON: &str = "application/json";

type HttpBody = http_body_util::Full<Bytes>;
type HttpClient = legacy::Client<legacy::connect::HttpConnector, HttpBody>;
type HttpRequest = http::Request<HttpBody>;
type HttpResponse = http::Response<body::Incoming>;

/// Client of backend servers; clones share its connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient,
    timeouts: timeouts::Timeouts,
}

impl Client {
    pub(super) fn new(timeouts: timeouts::Timeouts) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_connect_timeout(Some(timeouts.connect));
        connector.set_nodelay(true);
        let http = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_timer(rt::TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .http1_max_buf_size(MAX_READ_BUFFER_BYTES)
            .build(connector);
        Self { http, timeouts }
    }

    async fn send(&self, req: HttpRequest) -> Result<HttpResponse, BackendServerError> {
        let sent = self.http.request(req).await;
        sent.map_err(|e| failure::from_client(&e))
    }

    /// Sends a request whose response is a stream of tokens.
    async fn stream(&self, req: HttpRequest) -> Result<TokenStream, BackendServerError> {
        let head = with_timeout(self.timeouts.head, async {
            error_for_status(self.send(req).await?).await
        });
        let resp = head.await?;
        Ok(token_stream::open(resp.into_body(), self.timeouts.token))
    }

    /// Sends a request whose response only confirms that it was carried out.
    async fn control(&self, req: HttpRequest) -> Result<(), BackendServerError> {
        with_timeout(self.timeouts.control, async {
            let resp = error_for_status(self.send(req).await?).await?;
            whole_body::read(resp.into_body()).await?;
            Ok(())
        })
        .await
    }

    async fn service_response(
        &self,
        req: HttpRequest,
    ) -> Result<ServiceResponse, BackendServerError> {
        let resp = self.send(req).await?;
        let header = |name| resp.headers().get(name)?.to_str().ok();
        Ok(ServiceResponse {
            status: resp.status().as_u16(),
            epoch: header(EPOCH).and_then(|epoch| epoch.parse().ok()),
            content_type: header(http::header::CONTENT_TYPE.as_str()).map(str::to_owned),
            body: whole_body::read(resp.into_body()).await?,
        })
    }
}

#[async_trait]
impl BackendServer for Client {
    async fn generate(
        &self,
        address: &str,
        req: EngineRequest,
    ) -> Result<TokenStream, BackendServerError> {
        let body = json(&wire::CompletionBody::try_from(&req)?)?;
        let head = head("POST", address, "/v1/completions").header(REQUEST_ID, &req.id);
        self.stream(with_json(head, body)?).await
    }

    async fn resume(
        &self,
        address: &str,
        id: &ids::RequestId,
        offset: ids::Tokens,
    ) -> Result<TokenStream, BackendServerError> {
        let path = format!("/v1/requests/{id}/stream?offset={offset}");
        let head = head("GET", address, &path).header(REQUEST_ID, id);
        self.stream(without_body(head)?).await
    }

    async fn cancel(&self, address: &str, id: &ids::RequestId) -> Result<(), BackendServerError> {
        let path = format!("/v1/requests/{id}/cancel");
        self.control(without_body(head("POST", address, &path))?)
            .await
    }

    async fn reserve(
        &self,
        address: &str,
        id: &ids::RequestId,
        tokens: ids::Tokens,
    ) -> Result<(), BackendServerError> {
        let path = format!("/v1/reservations/{id}");
        let body = json(&wire::ReservationBody { tokens })?;
        self.control(with_json(head("PUT", address, &path), body)?)
            .await
    }

    async fn release(&self, address: &str, id: &ids::RequestId) -> Result<(), BackendServerError> {
        let path = format!("/v1/reservations/{id}");
        self.control(without_body(head("DELETE", address, &path))?)
            .await
    }

    async fn load(&self, address: &str) -> Result<LoadReport, BackendServerError> {
        let req = without_body(head("GET", address, "/v1/load"))?;
        with_timeout(self.timeouts.control, async {
            let resp = error_for_status(self.send(req).await?).await?;
            let report: wire::LoadBody = whole_body::read_json(resp.into_body()).await?;
            Ok(LoadReport::from(report))
        })
        .await
    }

    async fn order(
        &self,
        address: &str,
        fence: ids::FencingNumber,
        order: Order,
    ) -> Result<(), BackendServerError> {
        let body = json(&wire::OrderBody::new(fence, order))?;
        let head = head("POST", address, "/v1/orders");
        self.control(with_json(head, body)?).await
    }

    async fn call(
        &self,
        address: &str,
        call: ServiceCall,
    ) -> Result<ServiceResponse, BackendServerError> {
        let mut head = head(&call.method, address, &call.path).header(REQUEST_ID, &call.id);
        if let Some(content_type) = &call.content_type {
            head = head.header(http::header::CONTENT_TYPE, content_type);
        }
        let req = head.body(HttpBody::new(call.body));
        let req = req.map_err(failure::not_sent)?;
        with_timeout(self.timeouts.response, self.service_response(req)).await
    }
}

/// Starts to build a request; an invalid part is reported when the body is set.
fn head(method: &str, address: &str, path: &str) -> http::request::Builder {
    let uri = format!("http://{address}{path}");
    http::Request::builder().method(method).uri(uri)
}

fn without_body(head: http::request::Builder) -> Result<HttpRequest, BackendServerError> {
    head.body(HttpBody::default()).map_err(failure::not_sent)
}

fn with_json(head: http::request::Builder, body: Bytes) -> Result<HttpRequest, BackendServerError> {
    let head = head.header(http::header::CONTENT_TYPE, JSON);
    head.body(HttpBody::new(body)).map_err(failure::not_sent)
}

fn json<T: Serialize>(value: &T) -> Result<Bytes, BackendServerError> {
    let bytes = serde_json::to_vec(value).map_err(failure::not_sent)?;
    Ok(Bytes::from(bytes))
}

/// Returns a response with status 200, or the failure that any other status means.
async fn error_for_status(resp: HttpResponse) -> Result<HttpResponse, BackendServerError> {
    if resp.status() == http::StatusCode::OK {
        return Ok(resp);
    }
    Err(failure::from_response(resp).await)
}

async fn with_timeout<T>(
    timeout: time::Duration,
    call: impl Future<Output = Result<T, BackendServerError>> + Send,
) -> Result<T, BackendServerError> {
    let result = tokio::time::timeout(timeout, call).await;
    result.unwrap_or_else(|_| Err(failure::timed_out(timeout)))
}
