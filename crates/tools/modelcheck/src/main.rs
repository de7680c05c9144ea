//! modelcheck: explores the control state of the gateway. Ends with 0 when no sound scene breaks a rule and each
//! mutation is caught, with 1 otherwise, with 2 when the command line is wrong.

use gumdrop::Options;
use rushcourse_modelcheck::{
    Action, Bounds, Counterexample, Findings, Mutation, SCENES, Scene, explore,
};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// modelcheck: takes what a majority of disks holds through all orders of delivery, loss, crash and wipe.
#[derive(Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "only the scene of this name", meta = "NAME")]
    scene: Option<String>,
    #[options(
        help = "states of a scene looked at breadth first",
        meta = "N",
        default = "60000"
    )]
    states: usize,
    #[options(help = "random walks behind that, for what the scene has", meta = "N")]
    walks: Option<usize>,
    #[options(help = "longest walk", meta = "N", default = "120")]
    steps: usize,
    #[options(help = "other walks than the usual ones", meta = "N", default = "0")]
    seed: u64,
    #[options(
        help = "scenes and mutations explored at once; all processors if not given",
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
        SCENES.iter().filter(is_selected).collect()
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

/// A scene to explore, with all defences or one taken out.
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
        *self.findings.lock().expect("a scene does not panic") = findings;
    }

    /// Prints what was found. Whether it is as it should be: a counterexample for each mutation, and none without.
    fn report(self) -> bool {
        let findings = self.findings.into_inner().expect("a scene does not panic");
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
    let closed = if counterexample.is_settled {
        ", and faults end"
    } else {
        ""
    };
    println!("  {}", counterexample.violation);
    println!("  {}{closed}", actions.join(", "));
}

/// Each scene without mutations, and with each that it has to catch.
fn jobs(scenes: &[&'static Scene]) -> Vec<Job> {
    let mut jobs = Vec::new();
    for scene in scenes {
        jobs.push(Job::new(scene, None));
        let mutations = scene.catches.iter();
        jobs.extend(mutations.map(|mutation| Job::new(scene, Some(*mutation))));
    }
    jobs
}

/// Runs all jobs. Each is explored by itself: the figures are the same on any number of processors.
fn run_all(jobs: &[Job], arguments: &Arguments) {
    let next = AtomicUsize::new(0);
    let work = || {
        while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
            job.run(arguments);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..arguments.threads() {
            scope.spawn(work);
        }
    });
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let scenes = arguments.scenes();
    if scenes.is_empty() {
        let names: Vec<&str> = SCENES.iter().map(|scene| scene.name).collect();
        eprintln!("modelcheck: no such scene; there are {}", names.join(", "));
        return ExitCode::from(2);
    }
    let jobs = jobs(&scenes);
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
