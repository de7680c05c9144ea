//! The usage duty under random faults: timelines made from fixed seeds, with five controllers of which at most one at a
//! time loses its disk, while others restart, lose power, are cut off or stall. Every timeline checks that all
//! controllers learn the same state at a position, that a fence has one holder, and that a window is settled once; in
//! the end all of them agree on a new state.

mod timeline;

use timeline::run_timeline;

const CONTROLLERS: usize = 5;
const SEEDS: u64 = 60;
const ROWS: usize = 150;
/// Time without faults after the loss of a disk in ms, in which the controller gets back what it lacks.
const RECOVERY_MS: u64 = 5_000;

/// A linear congruential generator (Knuth's MMIX constants).
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Condition {
    Up,
    Down,
    Isolated,
    Stalled,
}

/// Generates the rows of a timeline.
struct Generator {
    random: Random,
    at: u64,
    next_window: u64,
    wiped_at: u64,
    conditions: [Condition; CONTROLLERS],
    timeline: String,
}

impl Generator {
    fn new(seed: u64) -> Generator {
        Generator {
            random: Random(seed),
            at: 1_500,
            next_window: 1,
            wiped_at: 0,
            conditions: [Condition::Up; CONTROLLERS],
            timeline: String::from("0 start start start start start\n"),
        }
    }

    fn row(&mut self, steps: &[(usize, String)]) {
        self.timeline += &self.at.to_string();
        for controller in 0..CONTROLLERS {
            let own = steps.iter().filter(|(at, _)| *at == controller);
            let own: Vec<&str> = own.map(|(_, step)| step.as_str()).collect();
            let cell = if own.is_empty() {
                ".".to_owned()
            } else {
                own.join("+")
            };
            self.timeline += &format!("  {cell}");
        }
        self.timeline += "\n";
    }

    fn random_row(&mut self) {
        let pauses = [1, 1, 2, 3, 5, 20, 100, 700];
        self.at += pauses[self.random.below(pauses.len() as u64) as usize];
        let controller = self.random.below(CONTROLLERS as u64) as usize;
        let step = match self.conditions[controller] {
            Condition::Up => self.step_while_up(controller),
            Condition::Down => self.restore(controller, "start"),
            Condition::Isolated => self.step_while_isolated(controller),
            Condition::Stalled => self.restore(controller, "recover"),
        };
        self.row(&[(controller, step)]);
    }

    fn restore(&mut self, controller: usize, step: &str) -> String {
        self.conditions[controller] = Condition::Up;
        step.to_owned()
    }

    fn fail(&mut self, controller: usize, condition: Condition, step: &str) -> String {
        self.conditions[controller] = condition;
        step.to_owned()
    }

    /// A former holder often proposes the next state that it knows of as soon as it is back.
    fn step_while_isolated(&mut self, controller: usize) -> String {
        let window = self.window();
        match self.random.below(3) {
            0 => self.restore(controller, "reconnect"),
            1 => self.restore(controller, &format!("reconnect+{window}")),
            _ => self.restore(controller, "reconnect+takeover"),
        }
    }

    fn window(&mut self) -> String {
        self.next_window += 1;
        format!("window{}", self.next_window)
    }

    fn step_while_up(&mut self, controller: usize) -> String {
        match self.random.below(12) {
            0..3 => "takeover".to_owned(),
            3..6 => self.window(),
            6 => format!("sent{}", self.next_window),
            7 => self.fail(controller, Condition::Down, "kill"),
            8 => self.fail(controller, Condition::Down, "power"),
            9 => self.fail(controller, Condition::Isolated, "isolate"),
            10 => self.fail(controller, Condition::Stalled, "stall"),
            _ => self.wipe(controller),
        }
    }

    /// Wipes a disk if the last one that was wiped is complete again; else the controller only restarts.
    fn wipe(&mut self, controller: usize) -> String {
        if self.at < self.wiped_at + RECOVERY_MS {
            return "kill+start".to_owned();
        }
        self.wiped_at = self.at + RECOVERY_MS;
        let others = self.conditions;
        let restores = (0..CONTROLLERS).map(|other| match others[other] {
            Condition::Up => None,
            Condition::Down => Some((other, "start".to_owned())),
            Condition::Isolated => Some((other, "reconnect".to_owned())),
            Condition::Stalled => Some((other, "recover".to_owned())),
        });
        let restores: Vec<(usize, String)> = restores.flatten().collect();
        // Others stay as they are until the disk is lost, and let the controller recover then.
        self.row(&[(controller, "wipe+start".to_owned())]);
        self.at += self.random.below(2_500);
        self.row(&restores);
        self.conditions = [Condition::Up; CONTROLLERS];
        self.at += RECOVERY_MS;
        "takeover".to_owned()
    }

    fn finish(mut self) -> String {
        self.at += 10;
        let steps = ["start", "reconnect", "recover"];
        for (condition, step) in [Condition::Down, Condition::Isolated, Condition::Stalled]
            .into_iter()
            .zip(steps)
        {
            let affected = (0..CONTROLLERS).filter(|at| self.conditions[*at] == condition);
            let row: Vec<(usize, String)> = affected.map(|at| (at, step.to_owned())).collect();
            self.row(&row);
        }
        self.at += 8_000;
        let window = self.window();
        self.row(&[(0, window.clone())]);
        self.at += 1_500;
        let settled = window.replace("window", "settled=");
        let all: Vec<(usize, String)> = (0..CONTROLLERS).map(|at| (at, settled.clone())).collect();
        self.row(&all);
        self.timeline
    }
}

/// Guards against any interleaving in which a chosen state is lost, replaced or decided anew.
#[test]
fn chosen_states_form_one_chain_under_random_faults() {
    for seed in 0..SEEDS {
        let mut generator = Generator::new(seed);
        for _ in 0..ROWS {
            generator.random_row();
        }
        let timeline = generator.finish();
        let outcome = std::panic::catch_unwind(|| run_timeline(&timeline));
        assert!(outcome.is_ok(), "seed {seed}:\n{timeline}");
    }
}
