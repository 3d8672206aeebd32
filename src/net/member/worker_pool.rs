//! The threads that run jobs on member connections, one job at a time each.

use super::connection::MemberConnection;
use super::job::Job;
use crate::threads::spawn;
use crossbeam_channel::{Receiver, Sender, bounded};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// How long a thread waits for its next job before it ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Threads that run jobs. Guards against a thread for each idle connection: hundreds of proxies on a machine,
/// each with connections to most members, exhausted the machine's thread ids.
#[derive(Clone, Default)]
pub struct WorkerPool {
    /// The workers without a job, the most recently used one last: it gets the next job, and the
    /// others reach their idle timeout.
    idle: Arc<Mutex<Vec<IdleWorker>>>,
    next_worker: Arc<AtomicU64>,
}

/// A job with the connection that it runs on.
pub(super) struct AssignedJob {
    /// The connection.
    pub(super) connection: Arc<MemberConnection>,
    /// The job.
    pub(super) job: Job,
}

/// A worker that waits for its next job.
struct IdleWorker {
    number: u64,
    jobs: Sender<AssignedJob>,
}

impl WorkerPool {
    /// Gives a job to an idle worker or to a new one; `false` if there is no thread for it.
    pub(super) fn dispatch(&self, job: AssignedJob) -> bool {
        let idle_worker = self.idle().pop();
        if let Some(worker) = idle_worker {
            return worker.jobs.try_send(job).is_ok();
        }
        let number = self.next_worker.fetch_add(1, Ordering::SeqCst);
        let pool = self.clone();
        spawn("link", move || pool.run_worker(number, job)).is_ok()
    }

    fn idle(&self) -> MutexGuard<'_, Vec<IdleWorker>> {
        self.idle.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The main function of a worker: it runs jobs until none has arrived for a while.
    fn run_worker(self, number: u64, first: AssignedJob) {
        let (jobs, inbox) = bounded(1);
        let mut next_job = Some(first);
        while let Some(AssignedJob { connection, job }) = next_job {
            let events = connection.run_job(job);
            // The worker is idle before the event loop is notified that the job has ended: a job that the
            // event loop dispatches in response then finds this worker.
            self.idle().push(IdleWorker { number, jobs: jobs.clone() });
            for event in events {
                connection.notify(event);
            }
            drop(connection);
            next_job = self.await_job(number, &inbox);
        }
    }

    /// The next job of an idle worker; `None` if none has arrived in time.
    fn await_job(&self, number: u64, inbox: &Receiver<AssignedJob>) -> Option<AssignedJob> {
        if let Ok(job) = inbox.recv_timeout(IDLE_TIMEOUT) {
            return Some(job);
        }
        if self.remove_idle(number) {
            return None;
        }
        // The worker has been selected meanwhile: its job will arrive.
        inbox.recv().ok()
    }

    /// Removes a worker from the idle ones; `false` if it is not one of them.
    fn remove_idle(&self, number: u64) -> bool {
        let mut idle = self.idle();
        let position = idle.iter().position(|worker| worker.number == number);
        if let Some(position) = position {
            idle.remove(position);
        }
        position.is_some()
    }
}
