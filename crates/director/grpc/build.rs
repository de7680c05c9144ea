//! Generates Rust code for the xDS and ORCA messages in `proto/`. `protox` compiles them, so `protoc` is not required.

use prost::Message;
use std::path::PathBuf;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let files = ["discovery.proto", "load_stats.proto", "orca.proto"];
    let set = protox::compile(files, ["proto"])?;
    let out = PathBuf::from(std::env::var("OUT_DIR")?);
    std::fs::write(out.join("messages.bin"), set.encode_to_vec())?;
    tonic_prost_build::configure()
        .include_file("messages.rs")
        .btree_map(".")
        .compile_fds(set)?;
    println!("cargo:rerun-if-changed=proto");
    Ok(())
}
