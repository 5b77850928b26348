//! Crowds against an entry that is started as the platform starts it: only the settings made by the
//! deployment's template tell it what the machine has.

use googletest::prelude::*;

use crate::{
    client,
    crowd::Sort,
    entry,
    run::{self, check_deployed},
};

/// Port for callers.
const FRONT: u16 = 8_001;
/// Port for readiness.
const READY: u16 = 8_002;
/// Port for discovery.
const DIRECTORY: u16 = 8_003;
/// Descriptors of a small process.
const FEW_DESCRIPTORS: u64 = 512;
/// Descriptors of the smallest machine of the deployments.
const MANY_DESCRIPTORS: u64 = 4_100;
/// Clients whose bodies together are more than six times the memory of the VM.
const BODIES: usize = 100;
/// Clients whose connections are more than a small process may open.
const CONNECTIONS: usize = 600;
/// Clients of each sort when all come together.
const EACH: usize = 50;
/// The same where more descriptors allow more connections.
const EACH_OF_MANY: usize = 100;
/// Size of the largest body that the configuration allows, in bytes.
const LEGAL_BYTES: usize = 4 * 1024 * 1024;

// Guards against a memory budget that is made from the memory of another machine than the entry's.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_at_once_stay_in_the_memory_of_the_vm() -> Result<()> {
    check_deployed(FEW_DESCRIPTORS, FRONT, &[(Sort::LargeAtOnce, BODIES)]).await
}

// Guards against the same while the bodies grow side by side.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_by_pieces_stay_in_the_memory_of_the_vm() -> Result<()> {
    check_deployed(FEW_DESCRIPTORS, FRONT, &[(Sort::LargeByPieces, BODIES)]).await
}

// Guards against the same with bodies whose length is not known before their end.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_chunks_stay_in_the_memory_of_the_vm() -> Result<()> {
    check_deployed(FEW_DESCRIPTORS, FRONT, &[(Sort::LargeChunks, BODIES)]).await
}

// Guards against the same with chunks of a few bytes.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_chunks_stay_in_the_memory_of_the_vm() -> Result<()> {
    check_deployed(FEW_DESCRIPTORS, FRONT, &[(Sort::LongSmallChunks, BODIES)]).await
}

// Guards against memory taken by bodies that are refused for their announced length.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn oversize_announced_bodies_stay_in_the_memory_of_the_vm() -> Result<()> {
    let crowd = (Sort::OversizeAnnounced, BODIES);
    check_deployed(FEW_DESCRIPTORS, FRONT, &[crowd]).await
}

// Guards against memory taken by bodies until they turn out too long.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn oversize_chunked_bodies_stay_in_the_memory_of_the_vm() -> Result<()> {
    check_deployed(FEW_DESCRIPTORS, FRONT, &[(Sort::OversizeChunked, BODIES)]).await
}

// Guards against limits on memory that hold for each sort, but not for their sum.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_of_all_sorts_stay_in_the_memory_of_the_vm() -> Result<()> {
    let crowds = Sort::BODIES.map(|sort| (sort, EACH));
    check_deployed(FEW_DESCRIPTORS, FRONT, &crowds).await
}

// Guards against a limit on connections that is made from more descriptors than the VM allows.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_clients_stay_in_the_descriptors_of_the_vm() -> Result<()> {
    check_deployed(FEW_DESCRIPTORS, FRONT, &[(Sort::Silent, CONNECTIONS)]).await
}

// Guards against the same at the port for readiness.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_clients_of_readiness_stay_in_the_descriptors_of_the_vm() -> Result<()> {
    check_deployed(FEW_DESCRIPTORS, READY, &[(Sort::Silent, CONNECTIONS)]).await
}

// Guards against bytes that wait in the kernel for many connections at once.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_bytes_of_large_bodies_at_once_count_as_memory() -> Result<()> {
    check_deployed(MANY_DESCRIPTORS, FRONT, &[(Sort::LargeAtOnce, CONNECTIONS)]).await
}

// Guards against the same with bodies that come in pieces.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_bytes_of_large_bodies_by_pieces_count_as_memory() -> Result<()> {
    let crowd = (Sort::LargeByPieces, CONNECTIONS);
    check_deployed(MANY_DESCRIPTORS, FRONT, &[crowd]).await
}

// Guards against the same with large chunks.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_bytes_of_large_chunks_count_as_memory() -> Result<()> {
    check_deployed(MANY_DESCRIPTORS, FRONT, &[(Sort::LargeChunks, CONNECTIONS)]).await
}

// Guards against the same with chunks of a few bytes, which take long to read.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_bytes_of_small_chunks_count_as_memory() -> Result<()> {
    let crowd = (Sort::LongSmallChunks, CONNECTIONS);
    check_deployed(MANY_DESCRIPTORS, FRONT, &[crowd]).await
}

// Guards against the same with the rest of bodies that were refused for their announced length.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_bytes_of_oversize_announced_bodies_count_as_memory() -> Result<()> {
    let crowd = (Sort::OversizeAnnounced, CONNECTIONS);
    check_deployed(MANY_DESCRIPTORS, FRONT, &[crowd]).await
}

// Guards against the same with the rest of bodies that turned out too long.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_bytes_of_oversize_chunked_bodies_count_as_memory() -> Result<()> {
    let crowd = (Sort::OversizeChunked, CONNECTIONS);
    check_deployed(MANY_DESCRIPTORS, FRONT, &[crowd]).await
}

// Guards against limits on unread bytes that hold for each sort, but not for their sum.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_bytes_of_bodies_of_all_sorts_count_as_memory() -> Result<()> {
    let crowds = Sort::BODIES.map(|sort| (sort, EACH_OF_MANY));
    check_deployed(MANY_DESCRIPTORS, FRONT, &crowds).await
}

// Guards against unread bodies at a port whose requests have none.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_bytes_of_bodies_at_the_directory_count_as_memory() -> Result<()> {
    let crowds = Sort::BODIES.map(|sort| (sort, EACH_OF_MANY));
    check_deployed(MANY_DESCRIPTORS, DIRECTORY, &crowds).await
}

// Guards against limits that a single client inside the configuration's limits meets.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn body_of_the_largest_size_is_served_in_calm() -> Result<()> {
    let _alone = run::ONE_AT_A_TIME.lock().await;
    let f = run::open_deployed(FEW_DESCRIPTORS).await;
    let front = entry::front(f.entry.ip);

    let body = client::Body::Whole(LEGAL_BYTES);
    let response = client::send(front, "/sound/a", "largest", body).await;

    verify_that!(response.unwrap().status, some(eq(200)))
}
