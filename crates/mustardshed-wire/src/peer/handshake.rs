//! Mutual authentication of two entry processes.
//!
//! Each sends a [`Hello`] with a fresh nonce, then a [`Proof`]: an HMAC with the shared peer key
//! over both hellos, the prover's first, so that a proof is valid for one link and one direction.
//!
//! ```
//! use mustardshed_wire::peer;
//!
//! let a = peer::Hello::new("a".into(), 1, [1; 32]);
//! let b = peer::Hello::new("b".into(), 1, [2; 32]);
//! let proof = peer::Proof::new(b"key", &a, &b);
//! assert!(proof.verify(b"key", &a, &b).is_ok());
//! assert!(proof.verify(b"other", &a, &b).is_err());
//! ```

use subtle::ConstantTimeEq;

use super::{error, field, hmac};

const CONTEXT: &[u8] = b"mustardshed peer proof 1";

/// First frame of a link, in each direction.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct Hello {
    /// Version of the protocol.
    pub version: u32,
    /// Sender's VM.
    pub vm: String,
    /// Sender's incarnation.
    pub incarnation: u64,
    /// Fresh random value.
    pub nonce: [u8; 32],
}

impl Hello {
    /// Creates a hello with the current protocol version.
    pub const fn new(vm: String, incarnation: u64, nonce: [u8; 32]) -> Self {
        Self {
            version: super::PROTOCOL_VERSION,
            vm,
            incarnation,
            nonce,
        }
    }

    /// Encodes the hello as one frame.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, error::Error> {
        super::to_frame(self)
    }

    /// Decodes a frame that holds a hello.
    ///
    /// # Errors
    ///
    /// Returns an error if `buf` holds no hello, one with another version, or one whose
    /// VM name is empty or too long.
    pub fn decode(buf: &[u8]) -> Result<Self, error::Error> {
        let hello: Self = super::from_frame(buf)?;
        if hello.version != super::PROTOCOL_VERSION {
            return Err(error::Error::Version(hello.version));
        }
        if hello.vm.is_empty() || hello.vm.len() > field::MAX_NAME_BYTES {
            return Err(error::Error::OutOfBounds("vm"));
        }
        Ok(hello)
    }
}

/// Second frame of a link, in each direction.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct Proof {
    code: [u8; 32],
}

impl Proof {
    /// Creates the proof that the sender of `prover` sends to the sender of `verifier`.
    pub fn new(key: &[u8], prover: &Hello, verifier: &Hello) -> Self {
        Self {
            code: code(key, prover, verifier),
        }
    }

    /// Checks a proof in constant time.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Unproven`] if the proof is for another key or for other hellos.
    pub fn verify(&self, key: &[u8], prover: &Hello, verifier: &Hello) -> Result<(), error::Error> {
        let expected = code(key, prover, verifier);
        if bool::from(self.code.ct_eq(&expected)) {
            Ok(())
        } else {
            Err(error::Error::Unproven)
        }
    }

    /// Encodes the proof as one frame.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, error::Error> {
        super::to_frame(self)
    }

    /// Decodes a frame that holds a proof.
    ///
    /// # Errors
    ///
    /// Returns an error if `buf` holds no proof.
    pub fn decode(buf: &[u8]) -> Result<Self, error::Error> {
        super::from_frame(buf)
    }
}

fn code(key: &[u8], prover: &Hello, verifier: &Hello) -> [u8; 32] {
    let prover = transcript(prover);
    let verifier = transcript(verifier);
    hmac::sign(key, &[CONTEXT, &prover, &verifier])
}

fn transcript(hello: &Hello) -> Vec<u8> {
    let mut buf = Vec::new();
    buf.extend_from_slice(&hello.version.to_be_bytes());
    buf.extend_from_slice(&(hello.vm.len() as u64).to_be_bytes());
    buf.extend_from_slice(hello.vm.as_bytes());
    buf.extend_from_slice(&hello.incarnation.to_be_bytes());
    buf.extend_from_slice(&hello.nonce);
    buf
}
