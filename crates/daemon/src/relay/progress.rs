//! Aggregates which versions are in force at the nodes of one relay.

use std::collections::BTreeMap;

use kingcuplift_schema::control::{Progress, ProgressCount};

use crate::fanout::Fanout;

/// Counts nodes by availability zone and version in force.
pub(crate) fn progress(fanout: &Fanout) -> Progress {
    let mut counts: BTreeMap<(String, u64), u64> = BTreeMap::new();
    for (_, node) in fanout.iter() {
        *counts.entry((node.zone.to_string(), node.applied.get())).or_default() += 1;
    }
    let counts = counts
        .into_iter()
        .map(|((zone, version), nodes)| ProgressCount { zone, version, nodes })
        .collect();
    Progress { counts }
}
