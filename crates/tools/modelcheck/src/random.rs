//! Deterministic random numbers.

/// Marsaglia's 64-bit xorshift generator. Traces of random walks are reproducible only as long as its sequence stays
/// the same.
pub(crate) struct XorShift(u64);

/// Fractional part of the golden ratio, scaled to 64 bits; a non-zero seed with well-distributed bits.
const GOLDEN_RATIO: u64 = 0x9E37_79B9_7F4A_7C15;

impl XorShift {
    pub(crate) fn new(seed: u64) -> XorShift {
        XorShift(GOLDEN_RATIO ^ seed)
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Returns a number in `0..limit`; `limit` must not be zero.
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    /// Returns an element of `list`, which must not be empty.
    pub(crate) fn choose<T: Copy>(&mut self, list: &[T]) -> T {
        list[self.below(list.len() as u64) as usize]
    }
}
