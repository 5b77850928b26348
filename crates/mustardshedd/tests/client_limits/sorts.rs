//! One sort of clients at a time, and all together.

use googletest::prelude::*;

use crate::{crowd::Sort, run};

/// Clients whose bodies together are six times the memory of the VM.
const BODIES: usize = 100;
/// Clients with bodies far over the limit; each sends three times that limit.
const OVERSIZE: usize = 40;
/// Clients whose connections are more than the descriptors of the process.
const CONNECTIONS: usize = 600;
/// Clients of each sort when all come together; their connections are more than the descriptors.
const EACH: usize = 70;

// Guards against the memory of bodies that are each within the limit, but together are not.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_with_large_bodies_at_once() -> Result<()> {
    run::check(&[(Sort::LargeAtOnce, BODIES)]).await
}

// Guards against the same while the bodies grow side by side.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_with_large_bodies_by_pieces() -> Result<()> {
    run::check(&[(Sort::LargeByPieces, BODIES)]).await
}

// Guards against the memory of bodies whose length is not known before their end.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_with_large_chunks() -> Result<()> {
    run::check(&[(Sort::LargeChunks, BODIES)]).await
}

// Guards against read buffers kept for small chunks, and against small bodies that never end and
// leave neither memory nor descriptors to others.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_with_small_chunks() -> Result<()> {
    run::check(&[(Sort::SmallChunks, CONNECTIONS)]).await
}

// Guards against the memory of bodies that are refused for their announced length.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_with_oversize_announced_bodies() -> Result<()> {
    run::check(&[(Sort::OversizeAnnounced, OVERSIZE)]).await
}

// Guards against the memory of bodies that turn out too long while they arrive.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_with_oversize_chunked_bodies() -> Result<()> {
    run::check(&[(Sort::OversizeChunked, OVERSIZE)]).await
}

// Guards against descriptors and memory taken by requests that never begin.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_with_endless_heads() -> Result<()> {
    run::check(&[(Sort::EndlessHead, CONNECTIONS)]).await
}

// Guards against descriptors taken by connections without a request.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_that_are_silent() -> Result<()> {
    run::check(&[(Sort::Silent, CONNECTIONS)]).await
}

// Guards against the memory of answers that nobody reads.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_that_never_read() -> Result<()> {
    run::check(&[(Sort::NeverReads, BODIES)]).await
}

// Guards against limits that hold for each sort, but not for their sum.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_of_all_sorts_together() -> Result<()> {
    let crowds = Sort::ALL.map(|sort| (sort, EACH));
    run::check(&crowds).await
}
