//! Pauses between tries that come to nothing: each twice the one before, up to a longest.

use rushcourse_policy::interface::Ms;

pub struct Backoff {
    first: Ms,
    most: Ms,
    tries: u32,
}

impl Backoff {
    pub fn new(first: Ms, most: Ms) -> Backoff {
        Backoff {
            first,
            most,
            tries: 0,
        }
    }

    /// The pause after one more try that came to nothing.
    pub fn pause(&mut self) -> Ms {
        let pause = self.first * f64::from(1u32 << self.tries.min(20));
        self.tries += 1;
        pause.min(self.most)
    }

    pub fn reset(&mut self) {
        self.tries = 0;
    }
}
