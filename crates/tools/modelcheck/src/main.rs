//! modelcheck: explores the control state of the gateway. Exits with 0 if no unmutated scene has a violation and each
//! mutation is detected, with 1 otherwise, and with 2 if the command line is invalid.

use gumdrop::Options;
use rushcourse_modelcheck::{
    Action, Bounds, Counterexample, Findings, Mutation, Scene, explore, scenes,
};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// modelcheck: explores the replicated control state under message loss, crashes and disk loss.
#[derive(Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "explore only this scene", meta = "NAME")]
    scene: Option<String>,
    #[options(
        help = "limit of states in the breadth-first search of a scene",
        meta = "N",
        default = "60000"
    )]
    states: usize,
    #[options(
        help = "random walks after an incomplete search; default: set by each scene",
        meta = "N"
    )]
    walks: Option<usize>,
    #[options(
        help = "limit of actions in a random walk",
        meta = "N",
        default = "120"
    )]
    steps: usize,
    #[options(help = "seed of the random walks", meta = "N", default = "0")]
    seed: u64,
    #[options(
        help = "scenes and mutations explored in parallel; default: number of processors",
        meta = "N"
    )]
    jobs: Option<usize>,
}

impl Arguments {
    fn scenes(&self) -> Vec<&'static Scene> {
        let is_selected = |scene: &&Scene| match &self.scene {
            Some(name) => scene.name == name,
            None => true,
        };
        scenes().filter(is_selected).collect()
    }

    fn bounds(&self, scene: &Scene) -> Bounds {
        Bounds {
            states: self.states,
            walks: self.walks.unwrap_or(scene.walks),
            steps: self.steps,
            seed: self.seed,
        }
    }

    fn threads(&self) -> usize {
        let processors = || std::thread::available_parallelism().map_or(1, usize::from);
        self.jobs.unwrap_or_else(processors).max(1)
    }
}

/// A unit of work: one scene, unmutated or with one mutation.
struct Job {
    scene: &'static Scene,
    mutation: Option<Mutation>,
    findings: Mutex<Findings>,
}

impl Job {
    fn new(scene: &'static Scene, mutation: Option<Mutation>) -> Job {
        Job {
            scene,
            mutation,
            findings: Mutex::default(),
        }
    }

    fn run(&self, arguments: &Arguments) {
        let bounds = arguments.bounds(self.scene);
        let findings = explore(self.scene, self.mutation, bounds);
        *self
            .findings
            .lock()
            .expect("no thread panics while it holds the lock") = findings;
    }

    /// Prints the result. Returns whether it is the expected one: a counterexample for a mutation, none for an
    /// unmutated scene.
    fn report(self) -> bool {
        let findings = self
            .findings
            .into_inner()
            .expect("no thread panics while it holds the lock");
        let is_expected = findings.counterexample.is_some() == self.mutation.is_some();
        println!(
            "scene={} variant={} states={} depth={} whole={} walked={} longest={} violations={} {}",
            self.scene.name,
            self.mutation.map_or("sound", Mutation::name),
            findings.states,
            findings.depth,
            findings.is_complete,
            findings.walked,
            findings.longest_walk,
            usize::from(findings.counterexample.is_some()),
            if is_expected { "ok" } else { "SHORTFALL" }
        );
        if let Some(counterexample) = findings.counterexample {
            print_counterexample(&counterexample);
        }
        is_expected
    }
}

fn print_counterexample(counterexample: &Counterexample) {
    let actions: Vec<String> = counterexample.trace.iter().map(Action::to_string).collect();
    let suffix = if counterexample.is_settled {
        ", and faults end"
    } else {
        ""
    };
    println!("  {}", counterexample.violation);
    println!("  {}{suffix}", actions.join(", "));
}

/// Returns one job for each scene without mutations, and one for each mutation that the scene has to detect.
fn jobs(scenes: &[&'static Scene]) -> Vec<Job> {
    let mut jobs = Vec::new();
    for scene in scenes {
        jobs.push(Job::new(scene, None));
        let mutations = scene.catches.iter();
        jobs.extend(mutations.map(|mutation| Job::new(scene, Some(*mutation))));
    }
    jobs
}

/// Runs all jobs on `Arguments::threads` threads. Jobs don't share state, so the results don't depend on the number of
/// threads.
fn run_all(jobs: &[Job], arguments: &Arguments) {
    let next = AtomicUsize::new(0);
    let worker = || {
        while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
            job.run(arguments);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..arguments.threads() {
            scope.spawn(worker);
        }
    });
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let selected = arguments.scenes();
    if selected.is_empty() {
        let names: Vec<&str> = scenes().map(|scene| scene.name).collect();
        eprintln!(
            "modelcheck: unknown scene; available scenes: {}",
            names.join(", ")
        );
        return ExitCode::from(2);
    }
    let jobs = jobs(&selected);
    run_all(&jobs, &arguments);
    let mut are_all_expected = true;
    for job in jobs {
        are_all_expected &= job.report();
    }
    if are_all_expected {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
