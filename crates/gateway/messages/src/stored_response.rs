//! Responses of completed operations, as stored for repeated requests and as sent between nodes, in parts.

use rushcourse_types::KeyDigest;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Maximum length of a [`ResponsePart`] in bytes. Short enough that a part on a slow link does not hold up the other
/// messages of its session for long, and that a controller can store it in a page of 32 KiB.
pub const MAX_PART_BYTES: usize = 30 << 10;

/// Status and headers of a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values in their original order, without hop-by-hop headers.
    pub headers: Vec<(String, Vec<u8>)>,
}

/// The response of a completed operation, replayed to clients that retry the request. Held in its encoded form: the head,
/// encoded with postcard, followed by the body. Clones share the bytes.
#[derive(Clone, PartialEq, Eq)]
pub struct StoredResponse {
    encoded: Arc<[u8]>,
    body_start: usize,
}

/// A piece of the encoded form of a [`StoredResponse`].
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponsePart {
    /// Position of the piece within the encoded response.
    pub offset: u32,
    /// Length of the whole encoded response in bytes.
    pub total_bytes: u32,
    /// The piece, at most [`MAX_PART_BYTES`].
    pub bytes: Arc<[u8]>,
}

/// A part of a shard of a response, from the gateway that ran the operation. See `rushcourse-routing` for the content of
/// shards, which the controllers that store them don't read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardPart {
    /// The digest of the operation key.
    pub key: KeyDigest,
    /// Number of the claim under which the operation ran, a claim of the sender's current incarnation.
    pub claim_number: u64,
    /// The part. Its offset and its total are those of the shard.
    pub part: ResponsePart,
}

/// Bytes that are not an encoded [`StoredResponse`], or parts that do not fit together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidStoredResponse;

impl fmt::Display for InvalidStoredResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("invalid stored response")
    }
}

impl std::error::Error for InvalidStoredResponse {}

impl StoredResponse {
    /// Encodes a response.
    ///
    /// # Errors
    /// [`InvalidStoredResponse`] if the response is too long to be sent in parts (4 GiB).
    pub fn new(head: &ResponseHead, body: &[u8]) -> Result<StoredResponse, InvalidStoredResponse> {
        let mut encoded = postcard::to_allocvec(head).map_err(|_| InvalidStoredResponse)?;
        let body_start = encoded.len();
        encoded.extend_from_slice(body);
        if u32::try_from(encoded.len()).is_err() {
            return Err(InvalidStoredResponse);
        }
        Ok(StoredResponse {
            encoded: encoded.into(),
            body_start,
        })
    }

    /// Reads a response from its encoded form.
    ///
    /// # Errors
    /// [`InvalidStoredResponse`] if the bytes do not begin with a head.
    pub fn decode(encoded: Vec<u8>) -> Result<StoredResponse, InvalidStoredResponse> {
        let decoded = postcard::take_from_bytes::<ResponseHead>(&encoded);
        let (_, body) = decoded.map_err(|_| InvalidStoredResponse)?;
        let body_start = encoded.len() - body.len();
        Ok(StoredResponse {
            encoded: encoded.into(),
            body_start,
        })
    }

    /// Status and headers.
    ///
    /// # Errors
    /// [`InvalidStoredResponse`] if the head can't be decoded.
    pub fn head(&self) -> Result<ResponseHead, InvalidStoredResponse> {
        postcard::from_bytes(&self.encoded[..self.body_start]).map_err(|_| InvalidStoredResponse)
    }

    /// The encoded form.
    pub fn encoded(&self) -> &[u8] {
        &self.encoded
    }

    /// The complete response body.
    pub fn body(&self) -> &[u8] {
        &self.encoded[self.body_start..]
    }

    /// Length of the encoded form in bytes.
    pub fn encoded_bytes(&self) -> usize {
        self.encoded.len()
    }

    /// The part that begins at `offset` of the encoded form; `None` if that is not inside it.
    pub fn part(&self, offset: u32) -> Option<ResponsePart> {
        let rest = self.encoded.get(offset as usize..)?;
        if rest.is_empty() {
            return None;
        }
        Some(ResponsePart {
            offset,
            total_bytes: self.encoded.len() as u32,
            bytes: rest[..rest.len().min(MAX_PART_BYTES)].into(),
        })
    }
}

impl fmt::Debug for StoredResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StoredResponse")
            .field("encoded_bytes", &self.encoded.len())
            .finish_non_exhaustive()
    }
}

impl ResponsePart {
    /// The offset at which the next part begins.
    pub fn end(&self) -> u32 {
        self.offset.saturating_add(self.bytes.len() as u32)
    }

    /// Whether the response ends with this part.
    pub fn is_last(&self) -> bool {
        self.end() >= self.total_bytes
    }

    /// Whether the part lies inside its response and is neither empty nor too long.
    pub fn is_valid(&self) -> bool {
        let length = self.bytes.len();
        let end = u64::from(self.offset) + length as u64;
        (1..=MAX_PART_BYTES).contains(&length) && end <= u64::from(self.total_bytes)
    }
}

impl fmt::Debug for ResponsePart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ResponsePart")
            .field("offset", &self.offset)
            .field("total_bytes", &self.total_bytes)
            .field("bytes", &self.bytes.len())
            .finish()
    }
}

/// A response of which some parts have arrived, in order.
#[derive(Debug)]
pub struct PartialResponse {
    total_bytes: u32,
    encoded: Vec<u8>,
}

impl PartialResponse {
    /// Starts with the first part.
    ///
    /// # Errors
    /// [`InvalidStoredResponse`] if it is not a first part.
    pub fn new(first: &ResponsePart) -> Result<PartialResponse, InvalidStoredResponse> {
        let mut partial = PartialResponse {
            total_bytes: first.total_bytes,
            encoded: Vec::new(),
        };
        partial.append(first)?;
        Ok(partial)
    }

    /// Adds the part that follows.
    ///
    /// # Errors
    /// [`InvalidStoredResponse`] if it is another part, or a part of another response.
    pub fn append(&mut self, part: &ResponsePart) -> Result<(), InvalidStoredResponse> {
        let follows = part.offset == self.next_offset() && part.total_bytes == self.total_bytes;
        if !follows || !part.is_valid() {
            return Err(InvalidStoredResponse);
        }
        self.encoded.extend_from_slice(&part.bytes);
        Ok(())
    }

    /// The offset of the part that is missing next.
    pub fn next_offset(&self) -> u32 {
        self.encoded.len() as u32
    }

    /// Whether all parts have arrived.
    pub fn is_complete(&self) -> bool {
        self.next_offset() >= self.total_bytes
    }

    /// The bytes of all parts.
    ///
    /// # Errors
    /// [`InvalidStoredResponse`] if parts are missing.
    pub fn into_bytes(self) -> Result<Vec<u8>, InvalidStoredResponse> {
        if self.is_complete() {
            Ok(self.encoded)
        } else {
            Err(InvalidStoredResponse)
        }
    }

    /// Reads the response.
    ///
    /// # Errors
    /// [`InvalidStoredResponse`] if parts are missing or the bytes are no response.
    pub fn finish(self) -> Result<StoredResponse, InvalidStoredResponse> {
        StoredResponse::decode(self.into_bytes()?)
    }
}
