//! What the tests of this package share.

use rushcourse_modelcheck::{SCENES, Scene};

/// The scene of a name.
pub fn scene(name: &str) -> &'static Scene {
    let found = SCENES.iter().find(|scene| scene.name == name);
    found.expect("a scene")
}
