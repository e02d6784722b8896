//! Writes to the data folder on a thread of its own, many writes with one sync.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};

use actix::{Message, Recipient};
use kingcuplift_quorum::{DiskFolder, Record, Store, StoreError, WriteSeq};
use kingcuplift_schema::quorum::Snapshot;

/// Most writes that share one sync.
const MAX_GROUP: usize = 1_024;

/// One write.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) seq: WriteSeq,
    pub(crate) record: Record,
    pub(crate) snapshot: Option<Arc<Snapshot>>,
}

/// Reports synced writes, or that the folder has failed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Written(pub(crate) Result<WriteSeq, StoreError>);

/// Starts the writing thread; it ends when the sender is dropped or the folder fails.
pub(crate) fn start(store: Store<DiskFolder>, reply: Recipient<Written>) -> Sender<Job> {
    let (sender, receiver) = channel();
    let run = move || write_jobs(store, &receiver, &reply);
    let thread = std::thread::Builder::new().name("storage".to_owned()).spawn(run);
    assert!(thread.is_ok(), "the operating system refused a thread");
    sender
}

fn write_jobs(mut store: Store<DiskFolder>, jobs: &Receiver<Job>, reply: &Recipient<Written>) {
    while let Ok(first) = jobs.recv() {
        let mut group = vec![first];
        group.extend(jobs.try_iter().take(MAX_GROUP));
        let written = write_group(&mut store, &group);
        let failed = written.is_err();
        reply.do_send(Written(written));
        if failed {
            return;
        }
    }
}

fn write_group(store: &mut Store<DiskFolder>, group: &[Job]) -> Result<WriteSeq, StoreError> {
    let mut records: Vec<Record> = Vec::with_capacity(group.len());
    for job in group {
        if let Some(snapshot) = &job.snapshot {
            flush(store, &mut records)?;
            store.save_snapshot(snapshot)?;
        }
        records.push(job.record.clone());
    }
    flush(store, &mut records)?;
    Ok(group.last().map_or(0, |job| job.seq))
}

fn flush(store: &mut Store<DiskFolder>, records: &mut Vec<Record>) -> Result<(), StoreError> {
    records.retain(|record| record.hard_state.is_some() || !record.entries.is_empty());
    if !records.is_empty() {
        store.save(records)?;
        records.clear();
    }
    Ok(())
}
