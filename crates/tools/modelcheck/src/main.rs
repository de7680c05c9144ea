//! modelcheck: explores the gateway's agreement. Ends with 0 when no sound scene breaks a rule and each broken variant is
//! caught, with 1 otherwise, with 2 when the command line is wrong.

use gumdrop::Options;
use rushcourse_modelcheck::{Bounds, Broken, Found, SCENES, Scene, explore};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// modelcheck: takes what a majority of disks holds through all orders of delivery, loss, crash and wipe.
#[derive(Options)]
struct Line {
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
    #[options(help = "walks by lot behind that, for what the scene has", meta = "N")]
    walks: Option<usize>,
    #[options(help = "longest walk", meta = "N", default = "120")]
    steps: usize,
    #[options(help = "other walks than the usual ones", meta = "N", default = "0")]
    seed: u64,
    #[options(
        help = "scenes and variants explored at once; all processors if not given",
        meta = "N"
    )]
    jobs: Option<usize>,
}

/// The next one of a list, for whoever asks first.
fn claim<'a, T>(next: &AtomicUsize, list: &'a [T]) -> Option<(usize, &'a T)> {
    let at = next.fetch_add(1, Ordering::Relaxed);
    Some((at, list.get(at)?))
}

fn main() -> ExitCode {
    let line = Line::parse_args_default_or_exit();
    let wanted = |name: &str| line.scene.as_deref().is_none_or(|w| w == name);
    let scenes: Vec<&'static Scene> = SCENES.iter().filter(|s| wanted(s.name)).collect();
    if scenes.is_empty() {
        let names: Vec<&str> = SCENES.iter().map(|s| s.name).collect();
        eprintln!("modelcheck: no such scene; there are {}", names.join(", "));
        return ExitCode::from(2);
    }
    // Each scene and variant by itself: the same figures on any number of processors.
    let jobs: Vec<(&'static Scene, Option<Broken>)> = scenes
        .iter()
        .flat_map(|s| {
            std::iter::once(None)
                .chain(s.catches.iter().copied().map(Some))
                .map(move |b| (*s, b))
        })
        .collect();
    let processors = std::thread::available_parallelism().map_or(1, usize::from);
    let next = AtomicUsize::new(0);
    let all: Vec<Mutex<Found>> = jobs.iter().map(|_| Mutex::default()).collect();
    std::thread::scope(|scope| {
        let work = || {
            while let Some((at, (scene, broken))) = claim(&next, &jobs) {
                let walks = line.walks.unwrap_or(scene.walks);
                let bounds = Bounds {
                    states: line.states,
                    walks,
                    steps: line.steps,
                    seed: line.seed,
                };
                *all[at].lock().expect("a scene does not panic") = explore(scene, *broken, bounds);
            }
        };
        for _ in 0..line.jobs.unwrap_or(processors).max(1) {
            scope.spawn(work);
        }
    });
    let all = all
        .into_iter()
        .map(|found| found.into_inner().expect("a scene does not panic"));
    let mut well = true;
    for ((scene, broken), found) in jobs.iter().zip(all) {
        let (caught, wanted) = (found.violation.is_some(), broken.is_some());
        well &= caught == wanted;
        println!(
            "scene={} text={} states={} depth={} whole={} walked={} longest={} violations={} {}",
            scene.name,
            broken.map_or("sound", Broken::name),
            found.states,
            found.depth,
            found.whole,
            found.walked,
            found.longest,
            usize::from(caught),
            if caught == wanted { "ok" } else { "SHORTFALL" }
        );
        if let Some((rule, way)) = found.violation {
            let moves: Vec<String> = way.iter().map(|m| format!("{m:?}")).collect();
            println!("  {rule}\n  {}", moves.join(" "));
        }
    }
    if well {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
