//! How many messages of a proxy's own making it is answered: asking again and again must not get round the cap
//! that its director keeps for it.

use rushcourse_policy::interface::Ms;
use std::collections::VecDeque;

/// Messages within a span.
#[derive(Debug)]
pub struct Grants {
    most: usize,
    over: Ms,
    given: VecDeque<Ms>,
}

impl Grants {
    /// At most `most` in any `over` ms; 0 is no limit.
    pub fn new(most: usize, over: Ms) -> Grants {
        Grants {
            most,
            over,
            given: VecDeque::new(),
        }
    }

    /// Records a message that leaves now.
    pub fn record(&mut self, now: Ms) {
        self.given.push_back(now);
        self.given.retain(|at| now - at <= self.over);
    }

    /// When there is room for one more: now, or later.
    pub fn room(&self, now: Ms) -> Ms {
        let counted: Vec<Ms> = self
            .given
            .iter()
            .copied()
            .filter(|at| now - at <= self.over)
            .collect();
        match counted.len().checked_sub(self.most) {
            Some(over) if self.most > 0 => counted[over] + self.over,
            _ => now,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_span_holds_no_more_than_it_may() {
        let mut grants = Grants::new(2, 1000.0);
        assert_eq!(grants.room(5.0), 5.0);
        grants.record(5.0);
        grants.record(100.0);
        assert_eq!(grants.room(200.0), 1005.0);
        assert!(grants.room(1006.0) == 1006.0);
        let mut free = Grants::new(0, 1000.0);
        (0..100).for_each(|_| free.record(1.0));
        assert_eq!(free.room(1.0), 1.0);
    }
}
