//! Regenerates `src/generated` from the `.proto` files.

use std::path::Path;

#[path = "../codegen/compile.rs"]
mod compile;

fn main() -> std::io::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    compile::generate(root, &root.join("src/generated"))
}
