//! Guards against generated code that is out of date with the `.proto` files.

use std::path::Path;

#[path = "../codegen/compile.rs"]
mod compile;

#[test]
fn code_is_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = tempfile::tempdir().expect("a temporary folder");
    compile::generate(root, out.path()).expect("the .proto files compile");
    for entry in std::fs::read_dir(out.path()).expect("the folder is readable") {
        let generated = entry.expect("the entry is readable").path();
        let name = generated.file_name().expect("a file has a name");
        let committed = root.join("src/generated").join(name);
        let expected = std::fs::read_to_string(&generated).expect("the generated file is readable");
        let actual = std::fs::read_to_string(&committed).expect("the committed file is readable");
        assert_eq!(expected, actual, "run `cargo run -p kingcuplift-schema --example generate`");
    }
}
