//! Helpers shared by the integration tests.

use rushcourse_modelcheck::{Scene, scenes};

/// Returns the scene with a name; panics if there is none.
pub fn scene(name: &str) -> &'static Scene {
    let found = scenes().find(|scene| scene.name == name);
    found.expect("the scene exists")
}
