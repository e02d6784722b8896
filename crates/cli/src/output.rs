//! Prints responses in human-readable form, or as indented JSON.

use std::path::Path;

use serde_json::Value;

use crate::command::Findings;

/// Prints a document as indented JSON.
pub(crate) fn print_json(document: &Value) {
    println!("{document:#}");
}

/// Prints a list of versions, one per line.
pub(crate) fn print_versions(document: &Value) {
    for version in items(document, "versions") {
        let number = &version["version"];
        let (at, note) = (text(version, "at"), text(version, "note"));
        println!("{number:>8}  {at}  {note}");
    }
    println!("head: {}", document["head"]);
}

/// Prints one version with its progress.
pub(crate) fn print_version(document: &Value) {
    println!("version: {}", document["version"]);
    println!("base: {}", document["base"]);
    println!("at: {}", text(document, "at"));
    println!("note: {}", text(document, "note"));
    println!("patch: {}", document["patch"]);
    let progress = &document["progress"];
    println!("in force: {} of {} nodes", progress["in_force"], progress["known"]);
    let zones = progress["zones"].as_object();
    for (zone, counts) in zones.into_iter().flatten() {
        println!("  {zone}: {} of {}", counts["in_force"], counts["known"]);
    }
}

/// Prints moves, one per line.
pub(crate) fn print_moves(document: &Value) {
    for item in items(document, "moves") {
        print_move(item);
    }
}

/// Prints one move.
pub(crate) fn print_move(item: &Value) {
    println!(
        "{}  {} {} -> {}  {} at {}% of {}%, deadline {}",
        text(item, "name"),
        text(item, "service"),
        text(item, "from"),
        text(item, "to"),
        text(item, "state"),
        item["share_now"],
        item["share"],
        text(item, "deadline"),
    );
}

/// Prints announced targets, one per line.
pub(crate) fn print_targets(document: &Value) {
    for target in items(document, "targets") {
        println!(
            "{}  {}  {}  {}  {}  {} slots",
            text(target, "service"),
            text(target, "version"),
            text(target, "zone"),
            text(target, "node"),
            text(target, "state"),
            target["slots"],
        );
    }
}

/// Prints the members of the source, one per line.
pub(crate) fn print_members(document: &Value) {
    for member in items(document, "members") {
        let vote = if member["vote"] == true { "voter" } else { "learner" };
        let role = if member["leader"] == true { "leader" } else { "-" };
        println!(
            "{}  {vote}  {role}  {}  {}  stored {} of {}",
            member["id"],
            text(member, "listen"),
            text(member, "http"),
            member["stored"],
            document["last"],
        );
    }
}

/// Prints the findings of a check, one per line, and their numbers.
pub(crate) fn print_findings(findings: &Findings, file: &Path) {
    for fault in &findings.errors {
        println!("error: {fault}");
    }
    for lint in &findings.warnings {
        println!("warning: {lint}");
    }
    for difference in findings.differences.iter().flatten() {
        println!("difference: {difference}");
    }
    let (errors, warnings) = (findings.errors.len(), findings.warnings.len());
    let differences = match &findings.differences {
        Some(differences) => format!(", {} differences", differences.len()),
        None => String::new(),
    };
    let resources = findings.resources;
    println!(
        "{}: {errors} errors, {warnings} warnings{differences}; {resources} resources",
        file.display()
    );
}

fn items<'a>(document: &'a Value, field: &str) -> &'a [Value] {
    document[field].as_array().map(Vec::as_slice).unwrap_or_default()
}

fn text<'a>(document: &'a Value, field: &str) -> &'a str {
    document[field].as_str().unwrap_or("-")
}
