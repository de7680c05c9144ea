//! Random choices that are the same each time.

/// Marsaglia's xorshift of 64 bits. Recorded figures of walks rest on its numbers, so that no other generator stands in
/// for it.
pub(crate) struct XorShift(u64);

/// The golden ratio as a fraction of 2^64: a seed whose bits are well mixed.
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

    /// A number below this one.
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    /// One of a list, which is not empty.
    pub(crate) fn choose<T: Copy>(&mut self, list: &[T]) -> T {
        list[self.below(list.len() as u64) as usize]
    }
}
