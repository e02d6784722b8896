//! Nothing outside `platform/` and `deploy/` knows the names of the users' platform.

use std::path::{Path, PathBuf};

/// Folders of code and settings.
const FOLDERS: [&str; 3] = ["crates", "examples", "scripts"];
/// Kinds of files that are searched.
const KINDS: [&str; 5] = ["rs", "proto", "json", "sh", "toml"];
/// Least number of names that the search must know; fewer means that it can't read the files of names.
const LEAST_NAMES: usize = 20;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the names that are the platform's alone: fields of two words, paths of calls, headers.
fn names() -> Vec<String> {
    let wire = read(&root().join("deploy/wire.toml"));
    let left = wire.lines().filter_map(|line| line.split_once(" = ")).map(|(left, _)| left);
    let fields = left.map(|name| name.trim_matches('"')).filter(|name| name.contains('_'));
    let rests = wire.lines().filter_map(|line| line.split("/api/").nth(1));
    let calls = rests.filter_map(|rest| Some(format!("/api/{}", rest.split(['/', '"']).next()?)));
    let settings = read(&root().join("platform/node.json"));
    let is_header = |text: &&str| text.starts_with("kingcuplift-");
    let headers = settings.split('"').filter(is_header).map(str::to_owned);
    let mut names: Vec<String> = fields.map(str::to_owned).chain(calls).chain(headers).collect();
    names.extend(["heartbeat_url", "app_address", "internal_port_range"].map(str::to_owned));
    names
}

fn files(folder: &Path, found: &mut Vec<PathBuf>) {
    let entries = std::fs::read_dir(folder).expect("the folder is readable");
    for path in entries.map(|entry| entry.expect("the entry is readable").path()) {
        let kind = path.extension().and_then(|kind| kind.to_str()).unwrap_or_default();
        match path.is_dir() {
            true => files(&path, found),
            false if KINDS.contains(&kind) => found.push(path),
            false => {}
        }
    }
}

#[test]
fn names_stay_outside() {
    let names = names();
    assert!(names.len() > LEAST_NAMES, "{names:?}");
    let mut searched = Vec::new();
    for folder in FOLDERS {
        files(&root().join(folder), &mut searched);
    }
    searched.retain(|path| !path.ends_with("platform_words.rs"));
    for path in searched {
        let text = read(&path);
        let found: Vec<&String> = names.iter().filter(|name| text.contains(*name)).collect();
        assert!(found.is_empty(), "{}: {found:?}", path.display());
    }
}
