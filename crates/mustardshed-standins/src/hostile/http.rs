//! Hostile inputs for an HTTP port.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::Input;

/// Body announced by an oversized input, in bytes.
const OVERSIZED_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Header of an oversized input, in bytes.
const OVERSIZED_HEADER_BYTES: usize = 256 * 1024;

/// Returns `count` inputs that an entry must answer with 4xx or, if they are no HTTP, drop.
pub fn inputs(rng: &mut Pcg64Mcg, key: &str, count: usize) -> Vec<Input> {
    (0..count).map(|i| input(rng, key, i)).collect()
}

fn input(rng: &mut Pcg64Mcg, key: &str, i: usize) -> Input {
    match i % 20 {
        0 => garbage(rng),
        1 => truncated_head(rng),
        2 => post(key, "malformed JSON", b"{\"model\":".to_vec()),
        3 => post(
            key,
            "wrong type of model",
            br#"{"model":7,"prompt":"x"}"#.to_vec(),
        ),
        4 => post(key, "no prompt", br#"{"model":"m"}"#.to_vec()),
        5 => post(key, "body of random bytes", random(rng, 512)),
        6 => post(key, "invalid UTF-8", b"{\"model\":\"\xff\xfe\"}".to_vec()),
        7 => post(
            key,
            "negative max_tokens",
            br#"{"model":"m","prompt":"x","max_tokens":-1}"#.to_vec(),
        ),
        8 => post(
            key,
            "huge max_tokens",
            br#"{"model":"m","prompt":"x","max_tokens":99999999999999999999}"#.to_vec(),
        ),
        9 => post(key, "deeply nested", vec![b'['; 100_000]),
        10 => oversized_body(key),
        11 => oversized_header(key),
        12 => many_headers(key),
        13 => slow_head(),
        14 => slow_body(key),
        15 => bad_chunk(key),
        16 => head(
            key,
            "method not allowed",
            "BREW /v1/completions HTTP/1.1",
            "",
        ),
        17 => head(
            key,
            "deadline that is no number",
            "POST /v1/completions HTTP/1.1",
            "X-Deadline-Ms: soon\r\n",
        ),
        18 => head(
            key,
            "path with traversal",
            "GET /../../etc/passwd HTTP/1.1",
            "",
        ),
        _ => head("wrong-key", "wrong key", "GET /v1/models HTTP/1.1", ""),
    }
}

fn garbage(rng: &mut Pcg64Mcg) -> Input {
    let len = rng.random_range(1..4096);
    Input {
        name: "random bytes",
        bytes: random(rng, len),
        http: false,
        slow: false,
    }
}

fn truncated_head(rng: &mut Pcg64Mcg) -> Input {
    let whole = b"POST /v1/completions HTTP/1.1\r\nHost: entry\r\nContent-Length: 10\r\n";
    let len = rng.random_range(1..whole.len());
    Input {
        name: "truncated head",
        bytes: whole[..len].to_vec(),
        http: false,
        slow: false,
    }
}

fn post(key: &str, name: &'static str, body: Vec<u8>) -> Input {
    let mut bytes = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {key}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend(body);
    Input {
        name,
        bytes,
        http: true,
        slow: false,
    }
}

fn head(key: &str, name: &'static str, line: &str, headers: &str) -> Input {
    let bytes = format!(
        "{line}\r\nHost: entry\r\nAuthorization: Bearer {key}\r\n{headers}\
         Content-Length: 0\r\nConnection: close\r\n\r\n"
    )
    .into_bytes();
    Input {
        name,
        bytes,
        http: true,
        slow: false,
    }
}

fn oversized_body(key: &str) -> Input {
    let mut bytes = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {key}\r\n\
         Content-Length: {OVERSIZED_BODY_BYTES}\r\nConnection: close\r\n\r\n"
    )
    .into_bytes();
    bytes.extend(vec![b'x'; 64 * 1024]);
    Input {
        name: "oversized body",
        bytes,
        http: true,
        slow: false,
    }
}

fn oversized_header(key: &str) -> Input {
    let value = "x".repeat(OVERSIZED_HEADER_BYTES);
    head(
        key,
        "oversized header",
        "GET /v1/models HTTP/1.1",
        &format!("X-Long: {value}\r\n"),
    )
}

fn many_headers(key: &str) -> Input {
    let headers: String = (0..500).map(|i| format!("X-{i}: {i}\r\n")).collect();
    head(key, "too many headers", "GET /v1/models HTTP/1.1", &headers)
}

fn slow_head() -> Input {
    Input {
        name: "slow head",
        bytes: b"GET /v1/models HTTP/1.1\r\nHost: entry\r\nX-Never: ends".to_vec(),
        http: false,
        slow: true,
    }
}

fn slow_body(key: &str) -> Input {
    let bytes = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {key}\r\n\
         Content-Length: 1000\r\nConnection: close\r\n\r\n{{\"model\":"
    )
    .into_bytes();
    Input {
        name: "slow body",
        bytes,
        http: true,
        slow: true,
    }
}

fn bad_chunk(key: &str) -> Input {
    let bytes = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {key}\r\n\
         Transfer-Encoding: chunked\r\nConnection: close\r\n\r\nZZ\r\nnot a chunk\r\n"
    )
    .into_bytes();
    Input {
        name: "malformed chunk",
        bytes,
        http: true,
        slow: false,
    }
}

fn random(rng: &mut Pcg64Mcg, len: usize) -> Vec<u8> {
    (0..len).map(|_| rng.random()).collect()
}
