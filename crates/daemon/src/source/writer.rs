//! Writes to the data folder on a dedicated thread, with group commit.
//!
//! After a failed write, the thread tries to recover the folder until it can be read and written again.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use actix::{Message, Recipient};
use kingcuplift_core::Event;
use kingcuplift_quorum::{DiskFolder, Record, Recovery, Store, StoreError, WriteSeq};
use kingcuplift_schema::quorum::Snapshot;

/// Maximum number of further writes that share a sync with the first one.
const MAX_BATCH: usize = 1_024;
/// Interval of the attempts to recover the data folder after a failed write.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(250);

/// A write to the data folder.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) seq: WriteSeq,
    pub(crate) record: Record,
    pub(crate) snapshot: Option<Arc<Snapshot>>,
}

/// Outcome of the writes so far.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) enum StorageReport {
    /// All writes up to this one are synced.
    Written(WriteSeq),
    /// A write failed; it and all later writes may be lost.
    Failed(StoreError),
    /// The folder can be written again and contains this state; the thread has ended.
    Recovered(Box<(Store<DiskFolder>, Recovery)>),
}

/// Starts the storage thread; it exits when the sender is dropped, or once it has recovered from a failed write.
pub(crate) fn start(store: Store<DiskFolder>, reply: Recipient<StorageReport>) -> Sender<Job> {
    let (sender, receiver) = channel();
    let run = move || write_jobs(store, receiver, &reply);
    let thread = std::thread::Builder::new().name("storage".to_owned()).spawn(run);
    assert!(thread.is_ok(), "failed to spawn the storage thread");
    sender
}

fn write_jobs(mut store: Store<DiskFolder>, jobs: Receiver<Job>, reply: &Recipient<StorageReport>) {
    let error = loop {
        let Ok(first) = jobs.recv() else { return };
        let mut batch = vec![first];
        batch.extend(jobs.try_iter().take(MAX_BATCH));
        match write_batch(&mut store, &batch) {
            Ok(seq) => reply.do_send(StorageReport::Written(seq)),
            Err(error) => break error,
        }
    };
    drop(jobs);
    let mut reason = error.to_string();
    reply.do_send(StorageReport::Failed(error));
    while reply.connected() {
        std::thread::sleep(RECOVERY_INTERVAL);
        match store.recover() {
            Ok(recovery) => {
                return reply.do_send(StorageReport::Recovered(Box::new((store, recovery))));
            }
            Err(error) => report_new_reason(&mut reason, &error),
        }
    }
}

/// Logs why the folder can't be recovered if the reason has changed since the last attempt.
fn report_new_reason(reason: &mut String, error: &StoreError) {
    let text = error.to_string();
    if text != *reason {
        Event::StorageFailed.emit(&[("reason", error)]);
        *reason = text;
    }
}

fn write_batch(store: &mut Store<DiskFolder>, batch: &[Job]) -> Result<WriteSeq, StoreError> {
    let mut records: Vec<Record> = Vec::with_capacity(batch.len());
    for job in batch {
        if let Some(snapshot) = &job.snapshot {
            save_records(store, &mut records)?;
            store.save_snapshot(snapshot)?;
        }
        records.push(job.record.clone());
    }
    save_records(store, &mut records)?;
    Ok(batch.last().map_or(0, |job| job.seq))
}

fn save_records(
    store: &mut Store<DiskFolder>,
    records: &mut Vec<Record>,
) -> Result<(), StoreError> {
    records.retain(|record| !record.is_empty());
    if !records.is_empty() {
        store.save(records)?;
        records.clear();
    }
    Ok(())
}
