//! The worker threads that run jobs on member connections, each one job at a time.

use super::connection::MemberConnection;
use super::job::Job;
use crate::threads::spawn;
use crossbeam_channel::{Receiver, Sender, bounded};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// How long a worker waits for its next job before its thread ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// A pool of threads that run jobs. With a thread for each connection, idle ones included, hundreds of
/// proxies on a machine, each with connections to most members, would exhaust the machine's thread ids.
#[derive(Clone, Default)]
pub struct WorkerPool {
    /// The workers without a job, the most recently used one last. The last one gets the next job, so that
    /// surplus workers reach their idle timeout.
    idle_workers: Arc<Mutex<Vec<IdleWorker>>>,
    /// The number of the next worker that is started.
    next_worker: Arc<AtomicU64>,
}

/// A job and the connection on which it runs.
pub(super) struct AssignedJob {
    /// The connection, which has no other job.
    pub(super) connection: Arc<MemberConnection>,
    /// The job, not yet started.
    pub(super) job: Job,
}

/// A worker that waits for its next job.
struct IdleWorker {
    number: u64,
    job_sender: Sender<AssignedJob>,
}

impl WorkerPool {
    /// Passes a job to an idle worker or to a new one; returns `false` if no thread could be started for it.
    pub(super) fn dispatch(&self, job: AssignedJob) -> bool {
        let idle_worker = self.idle_workers().pop();
        if let Some(worker) = idle_worker {
            return worker.job_sender.try_send(job).is_ok();
        }
        let number = self.next_worker.fetch_add(1, Ordering::SeqCst);
        let pool = self.clone();
        spawn("link", move || pool.run_worker(number, job)).is_ok()
    }

    fn idle_workers(&self) -> MutexGuard<'_, Vec<IdleWorker>> {
        self.idle_workers.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The main function of a worker: runs jobs until none arrives within [`IDLE_TIMEOUT`].
    fn run_worker(self, number: u64, first_job: AssignedJob) {
        let (job_sender, job_receiver) = bounded(1);
        let mut next_job = Some(first_job);
        while let Some(AssignedJob { connection, job }) = next_job {
            let events = connection.run_job(job);
            // The worker becomes idle before the event loop is notified of the job's end, so that a job that
            // the event loop dispatches in response can use this worker.
            self.idle_workers().push(IdleWorker { number, job_sender: job_sender.clone() });
            for event in events {
                connection.notify(event);
            }
            drop(connection);
            next_job = self.await_job(number, &job_receiver);
        }
    }

    /// Waits for the next job of an idle worker; returns `None` if no job arrives within [`IDLE_TIMEOUT`].
    fn await_job(&self, number: u64, job_receiver: &Receiver<AssignedJob>) -> Option<AssignedJob> {
        if let Ok(job) = job_receiver.recv_timeout(IDLE_TIMEOUT) {
            return Some(job);
        }
        if self.remove_idle(number) {
            return None;
        }
        // The worker was removed from the idle ones by a dispatch after the timeout: its job will arrive.
        job_receiver.recv().ok()
    }

    /// Removes a worker from the idle ones; returns `false` if it is not among them.
    fn remove_idle(&self, number: u64) -> bool {
        let mut idle = self.idle_workers();
        let position = idle.iter().position(|worker| worker.number == number);
        if let Some(position) = position {
            idle.remove(position);
        }
        position.is_some()
    }
}
