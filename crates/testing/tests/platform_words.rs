//! Checks that names of the users' platform are used only in `platform/` and `deploy/`.

use std::path::{Path, PathBuf};

/// Folders that are searched.
const FOLDERS: [&str; 3] = ["crates", "examples", "scripts"];
/// Extensions of the files that are searched.
const EXTENSIONS: [&str; 5] = ["rs", "proto", "json", "sh", "toml"];
/// The search must find more names than this; fewer mean that the files that list them were not read correctly.
const MIN_NAMES: usize = 20;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the names that only the platform uses: fields of several words, API paths and headers.
fn platform_names() -> Vec<String> {
    let wire = read(&root().join("deploy/wire.toml"));
    let outer_names = wire.lines().filter_map(|line| line.split_once(" = ")).map(|(left, _)| left);
    let fields = outer_names.map(|name| name.trim_matches('"')).filter(|name| name.contains('_'));
    let paths = wire.lines().filter_map(|line| line.split("/api/").nth(1));
    let api_paths =
        paths.filter_map(|path| Some(format!("/api/{}", path.split(['/', '"']).next()?)));
    let settings = read(&root().join("platform/node.json"));
    let is_header = |text: &&str| text.starts_with("kingcuplift-") || text.starts_with("server-");
    let headers = settings.split('"').filter(is_header).map(str::to_owned);
    let mut names: Vec<String> =
        fields.map(str::to_owned).chain(api_paths).chain(headers).collect();
    names.extend(["heartbeat_url", "app_address", "internal_port_range"].map(str::to_owned));
    names
}

fn collect_files(folder: &Path, found: &mut Vec<PathBuf>) {
    let entries = std::fs::read_dir(folder).expect("the folder is readable");
    for path in entries.map(|entry| entry.expect("the entry is readable").path()) {
        let extension =
            path.extension().and_then(|extension| extension.to_str()).unwrap_or_default();
        match path.is_dir() {
            true => collect_files(&path, found),
            false if EXTENSIONS.contains(&extension) => found.push(path),
            false => {}
        }
    }
}

#[test]
fn names_stay_outside() {
    let names = platform_names();
    assert!(names.len() > MIN_NAMES, "{names:?}");
    let mut searched = Vec::new();
    for folder in FOLDERS {
        collect_files(&root().join(folder), &mut searched);
    }
    searched.retain(|path| !path.ends_with("platform_words.rs"));
    for path in searched {
        let text = read(&path);
        let found: Vec<&String> = names.iter().filter(|name| text.contains(*name)).collect();
        assert!(found.is_empty(), "{}: {found:?}", path.display());
    }
}
