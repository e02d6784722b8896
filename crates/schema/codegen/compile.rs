//! Compiles the `.proto` files to Rust; shared by the generator and the test that compares its output.

use std::path::Path;

/// Names of the `.proto` files, without extension.
const PROTO_FILES: [&str; 4] = ["settings", "config", "control", "quorum"];

/// Attributes that let a message be read from JSON with any subset of its fields.
const JSON_ATTRIBUTES: &str =
    "#[derive(serde::Deserialize)] #[serde(default, deny_unknown_fields)]";

/// Writes one Rust file for each `.proto` file into `out`.
pub(crate) fn generate(root: &Path, out: &Path) -> std::io::Result<()> {
    let folder = root.join("proto");
    let files: Vec<_> =
        PROTO_FILES.iter().map(|name| folder.join(format!("{name}.proto"))).collect();
    let descriptors = protox::compile(&files, [&folder]).map_err(std::io::Error::other)?;
    let mut config = prost_build::Config::new();
    config.out_dir(out);
    config.btree_map(["."]);
    config.bytes([".kingcuplift.quorum.Entry", ".kingcuplift.control.UpdateFrame"]);
    config.type_attribute(".kingcuplift.settings", JSON_ATTRIBUTES);
    config.type_attribute(".kingcuplift.config", JSON_ATTRIBUTES);
    config.compile_fds(descriptors)
}
