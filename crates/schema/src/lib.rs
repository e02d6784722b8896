//! Messages and settings, generated from the files in `proto/`.
//!
//! Run `cargo run -p kingcuplift-schema --example generate` after changing a `.proto` file.

pub use prost::Message;

/// Resources of the configuration document.
pub mod config {
    include!("generated/kingcuplift.config.rs");
}

/// Messages between source, relays and nodes.
#[expect(missing_docs, reason = "the generator writes no comments on `oneof` enums")]
pub mod control {
    include!("generated/kingcuplift.control.rs");
}

/// Records of the replicated log and messages between source members.
#[expect(missing_docs, reason = "the generator writes no comments on `oneof` enums")]
pub mod quorum {
    include!("generated/kingcuplift.quorum.rs");
}

/// Settings of one process.
pub mod settings {
    include!("generated/kingcuplift.settings.rs");
}
