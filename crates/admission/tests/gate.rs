//! The admission gate on a runtime: callers that wait, evictions and aborted tasks.

use fawnspoke_admission::gate::AdmissionGate;
use fawnspoke_admission::table::AdmissionLimits;
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

const MIN_TIME: Duration = Duration::from_millis(50);
const SOURCE: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn a_waiting_caller_is_admitted_when_one_is_evicted_and_leaves() {
    run(async {
        let gate = AdmissionGate::new(AdmissionLimits { max_callers: 2, min_time: MIN_TIME });
        let started_at = Instant::now();
        for _ in 0..2 {
            let slot = gate.admit(SOURCE).await;
            spawn_local(async move { slot.evicted().await });
        }
        assert!(started_at.elapsed() < MIN_TIME, "free connections are given at once");
        let third = gate.admit(SOURCE).await;
        assert!(started_at.elapsed() >= MIN_TIME);
        assert_eq!(gate.count(), 2);
        drop(third);
        assert_eq!(gate.count(), 1);
    });
}

#[test]
fn a_caller_whose_task_is_aborted_gives_its_connection_back() {
    run(async {
        let gate = AdmissionGate::new(AdmissionLimits { max_callers: 1, min_time: MIN_TIME });
        for _ in 0..20 {
            let slot = timeout(Duration::from_secs(10), gate.admit(SOURCE)).await.expect("a free connection");
            slot.mark_handled();
            let task = spawn_local(async move {
                std::future::pending::<()>().await;
                drop(slot);
            });
            tokio::task::yield_now().await;
            task.abort();
        }
    });
}
