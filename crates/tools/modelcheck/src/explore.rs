//! Breadth first over all orders, each state once; then walks by lot from the start to where nothing more can happen.

use crate::moves::Move;
use crate::scenes::{Broken, Scene};
use crate::world::World;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::hash::{DefaultHasher, Hash, Hasher};

/// How far to look.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// States looked at breadth first, at most: some 4 KB each while they are on the edge.
    pub states: usize,
    /// Walks by lot, and their longest.
    pub walks: usize,
    pub steps: usize,
    /// Other walks for other seeds.
    pub seed: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Found {
    /// Different states, and the depth to which all of them were seen.
    pub states: usize,
    pub depth: usize,
    /// Whether no state is left that was not seen.
    pub whole: bool,
    /// States met on walks, and the longest walk.
    pub walked: usize,
    pub longest: usize,
    /// The rule that is broken, and the moves that lead there.
    pub violation: Option<(String, Vec<Move>)>,
}

/// Takes what is printed into a hash, without keeping the text.
struct Mark(DefaultHasher);

impl Write for Mark {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

fn mark(world: &World) -> u64 {
    let mut mark = Mark(DefaultHasher::new());
    write!(mark, "{world:?}").expect("a hash takes all text");
    mark.0.finish()
}

/// Explores one scene, sound or with a defence taken out. The same bounds give the same figures.
pub fn explore(scene: &Scene, broken: Option<Broken>, bounds: Bounds) -> Found {
    let mut found = breadth(scene, broken, bounds.states);
    if found.violation.is_none() && !found.whole {
        walk(scene, broken, bounds, &mut found);
    }
    found
}

fn breadth(scene: &Scene, broken: Option<Broken>, most: usize) -> Found {
    let start = World::opened(scene);
    let mut seen = BTreeSet::from([mark(&start)]);
    // From which state, by which move: the way to each state that was met.
    let mut ways: Vec<(usize, Option<Move>)> = vec![(0, None)];
    let (mut edge, mut depth) = (vec![(start, 0)], 0);
    while !edge.is_empty() {
        let mut next = Vec::new();
        for (world, at) in edge {
            for what in world.moves(scene) {
                let mut after = world.clone();
                after.play(scene, broken, what);
                if !seen.insert(mark(&after)) {
                    continue;
                }
                ways.push((at, Some(what)));
                if let Some(rule) = after.violation() {
                    let way = way(&ways);
                    let violation = Some((rule.to_string(), way));
                    return Found {
                        states: seen.len(),
                        depth: depth + 1,
                        violation,
                        ..Found::default()
                    };
                }
                next.push((after, ways.len() - 1));
            }
            if seen.len() >= most {
                return Found {
                    states: seen.len(),
                    depth,
                    ..Found::default()
                };
            }
        }
        (edge, depth) = (next, depth + 1);
    }
    Found {
        states: seen.len(),
        depth,
        whole: true,
        ..Found::default()
    }
}

/// The moves that lead to the last state met.
fn way(ways: &[(usize, Option<Move>)]) -> Vec<Move> {
    let (mut all, mut at) = (Vec::new(), ways.len() - 1);
    while let Some(what) = ways[at].1 {
        all.push(what);
        at = ways[at].0;
    }
    all.reverse();
    all
}

/// How a walk chooses its moves.
#[derive(Clone, Copy)]
enum Gait {
    /// All moves alike.
    Even,
    /// Three times in four, what is under way goes on before anything new is begun, is lost, or time passes: it gets
    /// further than a walk that is as likely to lose as to go on.
    Work,
    /// Each move has a speed of its own for the whole walk, so that a link, a disk or time itself may be far slower than
    /// the others.
    Speeds(u64),
}

/// Speeds are powers of `SPEED`, and there are `SPEEDS` of them.
const SPEED: u64 = 8;
const SPEEDS: u64 = 4;

impl Gait {
    fn of_walk(number: usize, seed: u64) -> Gait {
        match number % 3 {
            0 => Gait::Even,
            1 => Gait::Work,
            _ => Gait::Speeds(number as u64 ^ seed),
        }
    }
}

fn walk(scene: &Scene, broken: Option<Broken>, bounds: Bounds, found: &mut Found) {
    let mut lot = Lot(0x9E37_79B9_7F4A_7C15 ^ bounds.seed);
    let start = World::opened(scene);
    for number in 0..bounds.walks {
        let gait = Gait::of_walk(number, bounds.seed);
        let (mut world, mut way) = (start.clone(), Vec::new());
        while way.len() < bounds.steps {
            let moves = world.moves(scene);
            if moves.is_empty() {
                break;
            }
            let what = lot.choose(&moves, gait);
            world.play(scene, broken, what);
            way.push(what);
            if let Some(rule) = world.violation() {
                found.violation = Some((rule.to_string(), way));
                return;
            }
        }
        if scene.closed_each > 0 && number % scene.closed_each == 0 {
            world.close(scene, broken);
            if let Some(rule) = world.violation() {
                found.violation = Some((format!("{rule}, after the last move"), way));
                return;
            }
        }
        found.walked += way.len();
        found.longest = found.longest.max(way.len());
    }
}

/// The same choices each time.
struct Lot(u64);

impl Lot {
    /// xorshift.
    fn draw(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    fn choose(&mut self, moves: &[Move], gait: Gait) -> Move {
        match gait {
            Gait::Even => self.one(moves),
            Gait::Work => {
                let work: Vec<Move> = moves.iter().copied().filter(Move::is_work).collect();
                let goes_on = !work.is_empty() && !self.draw().is_multiple_of(4);
                self.one(if goes_on { &work } else { moves })
            }
            Gait::Speeds(walk) => self.by_speed(moves, walk),
        }
    }

    fn one(&mut self, moves: &[Move]) -> Move {
        moves[(self.draw() % moves.len() as u64) as usize]
    }

    fn by_speed(&mut self, moves: &[Move], walk: u64) -> Move {
        let speeds: Vec<u64> = moves.iter().map(|what| speed(*what, walk)).collect();
        let mut left = self.draw() % speeds.iter().sum::<u64>();
        for (what, speed) in moves.iter().zip(speeds) {
            if left < speed {
                return *what;
            }
            left -= speed;
        }
        moves[0]
    }
}

/// How often a move is chosen on a walk, for each time that the slowest is.
fn speed(what: Move, walk: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (what, walk).hash(&mut hasher);
    SPEED.pow((hasher.finish() % SPEEDS) as u32)
}
