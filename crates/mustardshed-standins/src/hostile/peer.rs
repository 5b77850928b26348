//! Hostile inputs for the port towards peers.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::Input;

/// Returns `count` inputs that an entry must drop.
pub fn inputs(rng: &mut Pcg64Mcg, count: usize) -> Vec<Input> {
    (0..count).map(|i| input(rng, i)).collect()
}

fn input(rng: &mut Pcg64Mcg, i: usize) -> Input {
    match i % 6 {
        0 => plain("random bytes", random(rng, 2048)),
        1 => plain(
            "HTTP without upgrade",
            b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(),
        ),
        2 => plain("wrong hello", upgraded(&frame(0x82, &random(rng, 64)))),
        3 => plain("text frame for a hello", upgraded(&frame(0x81, b"hello"))),
        4 => plain("truncated frame", upgraded(&[0x82, 0xfe, 0xff])),
        _ => plain("oversized frame", upgraded(&oversized_frame())),
    }
}

fn plain(name: &'static str, bytes: Vec<u8>) -> Input {
    Input {
        name,
        bytes,
        http: false,
        slow: false,
    }
}

/// Returns a WebSocket upgrade followed by `frames`.
fn upgraded(frames: &[u8]) -> Vec<u8> {
    let mut bytes =
        b"GET / HTTP/1.1\r\nHost: entry\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\
        Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
            .to_vec();
    bytes.extend(frames);
    bytes
}

/// Returns a masked frame with a mask of zeros; `payload` is at most 65,535 bytes.
fn frame(opcode: u8, payload: &[u8]) -> Vec<u8> {
    let len = u16::try_from(payload.len()).unwrap_or(u16::MAX);
    let mut bytes = vec![opcode, 0xfe];
    bytes.extend(len.to_be_bytes());
    bytes.extend([0; 4]);
    bytes.extend(payload);
    bytes
}

/// Returns the head of a frame that announces a terabyte.
fn oversized_frame() -> Vec<u8> {
    let mut bytes = vec![0x82, 0xff];
    bytes.extend((1_u64 << 40).to_be_bytes());
    bytes.extend([0; 4]);
    bytes.extend(vec![0; 64 * 1024]);
    bytes
}

fn random(rng: &mut Pcg64Mcg, len: usize) -> Vec<u8> {
    (0..len).map(|_| rng.random()).collect()
}
