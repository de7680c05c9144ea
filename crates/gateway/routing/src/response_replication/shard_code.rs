//! Erasure coding of stored responses (Reed-Solomon over GF(2^8)). A response is split into `data_shards` shards of equal
//! length, and further shards are computed from these; any `data_shards` of them restore it. With a single data shard,
//! each shard is a copy.
//!
//! A shard is stored and sent in parts of [`MAX_PART_BYTES`]. Each part is coded by itself, from a stripe of the response,
//! so that neither side needs the memory of a whole long response for it. A part consists of a header, which describes
//! its stripe, and a chunk:
//!
//! | byte | content |
//! | --- | --- |
//! | 0 | index of the shard, below [`MAX_SHARDS`] |
//! | 1 | number of data shards |
//! | 2 | number of bytes by which the data chunks together are longer than the stripe |
//! | 3.. | the chunk |
//!
//! Releases before protocol version 8 stored whole responses without a header. Their first byte is the low part of a
//! status code, with the high bit set, so it is not an index.

use reed_solomon_erasure::galois_8::ReedSolomon;
use rushcourse_messages::{MAX_PART_BYTES, ResponsePart, StoredResponse};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// Maximum number of shards of a response. More would save few bytes, and each costs a message in each round.
pub const MAX_SHARDS: usize = 6;
const HEADER_BYTES: usize = 3;
const MAX_CHUNK_BYTES: usize = MAX_PART_BYTES - HEADER_BYTES;
/// Set in the first byte of a whole response that an earlier release has stored.
const WHOLE_RESPONSE_FLAG: u8 = 0x80;

/// Codes responses into shards.
#[derive(Debug, Default)]
pub struct ShardEncoder {
    /// The codes that were used so far, by the number of data shards.
    codes: BTreeMap<usize, ReedSolomon>,
}

/// One shard of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardIndex {
    /// Number of shards that restore the response, from 1 to [`MAX_SHARDS`].
    pub data_shards: usize,
    /// Position among the shards, below [`MAX_SHARDS`].
    pub index: usize,
}

impl ShardEncoder {
    /// The part of a shard that begins at `offset`; `None` if no part begins there.
    pub fn part(
        &mut self,
        response: &StoredResponse,
        shard: ShardIndex,
        offset: u32,
    ) -> Option<ResponsePart> {
        let stripe_bytes = shard.data_shards * MAX_CHUNK_BYTES;
        let position = offset as usize;
        if !position.is_multiple_of(MAX_PART_BYTES) {
            return None;
        }
        let mut stripes = response.encoded().chunks(stripe_bytes);
        let stripe = stripes.nth(position / MAX_PART_BYTES)?;
        let chunk_bytes = stripe.len().div_ceil(shard.data_shards);
        let padding = chunk_bytes * shard.data_shards - stripe.len();
        let mut bytes = vec![shard.index as u8, shard.data_shards as u8, padding as u8];
        bytes.extend(self.chunk(stripe, chunk_bytes, shard)?);
        Some(ResponsePart {
            offset,
            total_bytes: shard_bytes(response.encoded_bytes(), shard.data_shards) as u32,
            bytes: bytes.into(),
        })
    }

    fn chunk(&mut self, stripe: &[u8], chunk_bytes: usize, shard: ShardIndex) -> Option<Vec<u8>> {
        let ShardIndex { data_shards, index } = shard;
        let mut chunks: Vec<Vec<u8>> = stripe.chunks(chunk_bytes).map(<[u8]>::to_vec).collect();
        chunks.resize_with(data_shards, Vec::new);
        for chunk in &mut chunks {
            chunk.resize(chunk_bytes, 0);
        }
        if data_shards == 1 {
            return chunks.pop();
        }
        if index >= data_shards {
            chunks.resize_with(MAX_SHARDS, || vec![0; chunk_bytes]);
            self.code(data_shards)?.encode(&mut chunks).ok()?;
        }
        (index < chunks.len()).then(|| chunks.swap_remove(index))
    }

    fn code(&mut self, data_shards: usize) -> Option<&ReedSolomon> {
        match self.codes.entry(data_shards) {
            Entry::Occupied(known) => Some(known.into_mut()),
            Entry::Vacant(unknown) => Some(unknown.insert(code(data_shards)?)),
        }
    }
}

/// The code for a number of data shards. It always has [`MAX_SHARDS`] shards, so that a shard does not depend on how many
/// of the others are used.
fn code(data_shards: usize) -> Option<ReedSolomon> {
    ReedSolomon::new(data_shards, MAX_SHARDS.checked_sub(data_shards)?).ok()
}

/// Length of each shard of a response, with all headers.
fn shard_bytes(response_bytes: usize, data_shards: usize) -> usize {
    let stripe_bytes = data_shards * MAX_CHUNK_BYTES;
    let whole_stripes = response_bytes / stripe_bytes;
    let rest = response_bytes % stripe_bytes;
    let last_part = if rest == 0 {
        0
    } else {
        HEADER_BYTES + rest.div_ceil(data_shards)
    };
    whole_stripes * MAX_PART_BYTES + last_part
}

/// Shards of one response, which restore it once there are enough of them.
#[derive(Debug, Default)]
pub struct ShardSet {
    /// The shards by number of data shards and index. Shards of another coding of the response don't fit.
    shards: BTreeMap<(u8, u8), Vec<u8>>,
}

impl ShardSet {
    /// Adds the bytes of a shard, and returns the response if they complete it.
    pub fn add(&mut self, bytes: Vec<u8>) -> Option<StoredResponse> {
        let [index, data_shards, ..] = bytes[..] else {
            return None;
        };
        if index & WHOLE_RESPONSE_FLAG != 0 {
            return StoredResponse::decode(bytes).ok();
        }
        self.shards.insert((data_shards, index), bytes);
        let fitting = self.shards.range((data_shards, 0)..=(data_shards, u8::MAX));
        let shards: Vec<&[u8]> = fitting.map(|(_, shard)| &shard[..]).collect();
        if shards.len() < usize::from(data_shards) {
            return None;
        }
        restore(&shards, usize::from(data_shards))
    }
}

/// Restores a response from shards of one coding.
fn restore(shards: &[&[u8]], data_shards: usize) -> Option<StoredResponse> {
    let code = match data_shards {
        1 => None,
        _ => Some(code(data_shards)?),
    };
    let mut encoded = Vec::new();
    let mut parts: Vec<_> = shards.iter().map(|s| s.chunks(MAX_PART_BYTES)).collect();
    loop {
        let stripe_parts: Vec<&[u8]> = parts.iter_mut().filter_map(Iterator::next).collect();
        if stripe_parts.is_empty() {
            return StoredResponse::decode(encoded).ok();
        }
        if stripe_parts.len() < data_shards {
            return None;
        }
        encoded.extend(restore_stripe(&stripe_parts, data_shards, code.as_ref())?);
    }
}

fn restore_stripe(
    parts: &[&[u8]],
    data_shards: usize,
    code: Option<&ReedSolomon>,
) -> Option<Vec<u8>> {
    let mut chunks: Vec<Option<Vec<u8>>> = vec![None; MAX_SHARDS];
    let mut padding = 0;
    for part in parts {
        let (header, chunk) = part.split_at_checked(HEADER_BYTES)?;
        padding = usize::from(header[2]);
        *chunks.get_mut(usize::from(header[0]))? = Some(chunk.to_vec());
    }
    match code {
        Some(code) => code.reconstruct_data(&mut chunks).ok()?,
        // Each shard is a copy.
        None => chunks.swap(0, usize::from(parts[0][0])),
    }
    chunks.truncate(data_shards);
    let mut stripe = chunks.into_iter().collect::<Option<Vec<_>>>()?.concat();
    stripe.truncate(stripe.len().checked_sub(padding)?);
    Some(stripe)
}
