//! The event loop: once per tick it passes the collected inputs to the decision core and executes the actions that it
//! returns. It also runs the periodic work (journal compaction, metrics, the connection pool) and ends the process
//! after SIGTERM or SIGINT, or once another process has taken over. All decisions are made by the core.

use crate::actions::execute;
use crate::call_results::{MessageEnd, Resolution};
use crate::calls::CallEnd;
use crate::connection::SurplusResponse;
use crate::handover::{self, HandoverRequest, HandoverResult};
use crate::inputs::Input;
use crate::loop_delay::LoopDelay;
use crate::resource_log::ResourceLog;
use crate::transfer::Transfer;
use crate::{Node, compaction, connection_pool, control, log, panics, unproven};
use hyper::StatusCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use tokio::time::sleep_until;
use waydoor::{AttemptEnd, Event, MessageId, Seconds};

/// Time from the stop signal until no call may be in flight any more.
const CALLS_DEADLINE_SECONDS: Seconds = 3.0;
/// Time from the stop signal until the process exits in any case, before the platform kills it.
const EXIT_DEADLINE_SECONDS: Seconds = 3.3;
/// Time from the stop signal until kept client connections are closed. Clients open new connections for up to 0.4 s
/// after it. The listener is still open when the kept ones close, so a request that crosses the close can be repeated
/// on a new connection.
const CLOSE_CLIENTS_SECONDS: Seconds = 0.45;
/// Minimum time from the stop signal to the exit.
const MIN_EXIT_SECONDS: Seconds = 0.8;

/// Interval of the log line with traffic counters.
const TRAFFIC_LINE_INTERVAL_SECONDS: Seconds = 1.0;

/// Logs and counts a response that belongs to no request.
fn record_surplus_response(node: &Node, surplus: &SurplusResponse) {
    let SurplusResponse { destination, address, connection, requests, head, .. } = surplus;
    let status = head.status.map_or("malformed".into(), |status| status.as_u16().to_string());
    log::info_limited(format_args!(
        "connection {connection} to {address}: a response ({status}) beyond its {requests} requests; closing it"
    ));
    node.traffic.update(*destination, |counters| counters.surplus_responses += 1);
}

/// Passes one input to the decision core.
pub fn apply_input(node: &Node, now: Seconds, input: Input) {
    let mut dispatcher = node.dispatcher.borrow_mut();
    match input {
        Input::SurplusResponse(surplus) => {
            record_surplus_response(node, &surplus);
            // Whichever request it belongs to, the endpoint has asked to wait.
            if let Some(delay) = surplus.head.retry_after {
                let (endpoint, delay) = (surplus.endpoint, delay.as_secs_f64());
                dispatcher.handle(now, Event::RetryAfter { endpoint, delay });
            }
            // An endpoint may close an idle connection with a 408 (RFC 9110); that is no copy.
            if surplus.head.status != Some(StatusCode::REQUEST_TIMEOUT) {
                node.pool.distrust(surplus.endpoint);
            }
            node.unproven.request_check();
        }
        Input::Event(event) => dispatcher.handle(now, event),
        Input::Accepted { number } => {
            if let Some(message) = node.journaled_message(number) {
                node.traffic.update(message.destination.0, |counters| counters.accepted += 1);
                dispatcher.handle(now, Event::Accepted(message));
            }
        }
        Input::CallEnded { endpoint, sent_at, end } => {
            let CallEnd {
                message_ends,
                retry_after,
                rate_limit_report,
                connection_reused,
                connection_kept,
                ..
            } = end;
            let latency = now - sent_at;
            for end in message_ends {
                let MessageEnd { number, attempt, outcome, resolution, unproven } = end;
                let id = MessageId(number);
                if unproven {
                    dispatcher.handle(now, Event::AttemptMayHaveRun { id, attempt });
                }
                dispatcher.handle(
                    now,
                    Event::AttemptEnded(AttemptEnd {
                        id,
                        endpoint,
                        attempt,
                        outcome,
                        retry_after,
                        settled: resolution != Resolution::Open,
                        latency,
                        rate_limit_report,
                        connection_reused,
                        connection_kept,
                    }),
                );
            }
        }
    }
}

/// The receiving ends that the event loop reads.
pub struct EventSources {
    pub inputs: UnboundedReceiver<Input>,
    pub terminate: Signal,
    pub interrupt: Signal,
    /// Processes that ask to take over.
    pub takeover_requests: UnboundedReceiver<HandoverRequest>,
    /// Items to be transferred to the process that has taken over.
    pub transfers: UnboundedReceiver<Transfer>,
}

/// What the process does after the event loop.
pub enum ExitAction {
    Exit,
    /// It executes its program again and recovers from the journal.
    Restart,
}

/// Runs until the process was asked to stop and has nothing in flight, or another process has taken over.
pub async fn run_event_loop(node: Rc<Node>, sources: EventSources) -> ExitAction {
    let EventSources { mut inputs, mut terminate, mut interrupt, mut takeover_requests, mut transfers } =
        sources;
    let tick = Duration::from_secs_f64(node.config.tick_seconds);
    let instant_of = |seconds: Seconds| -> tokio::time::Instant {
        (node.started_at + Duration::from_secs_f64(seconds.clamp(0.0, 1e9))).into()
    };
    let mut timer = None;
    let mut sweep_at = 0.0;
    let mut compactor = compaction::Compactor::default();
    let mut stop_requested_at = None;
    let mut traffic_logged_at = 0.0;
    let mut resource_log = ResourceLog::default();
    let mut loop_delay = LoopDelay::default();
    let mut actions = Vec::new();
    loop {
        let wake_at = timer.map_or(sweep_at, |(_, due): (u32, Seconds)| due.min(sweep_at));
        let mut stop_signalled = false;
        let mut takeover = None;
        let first_input = tokio::select! {
            Some(request) = takeover_requests.recv() => { takeover = Some(request); None }
            input = inputs.recv() => input,
            () = sleep_until(instant_of(wake_at)) => None,
            _ = terminate.recv() => { stop_signalled = true; None }
            _ = interrupt.recv() => { stop_signalled = true; None }
        };
        // All inputs of a tick are handled together.
        let next_tick = (node.started_at.elapsed().as_nanos() / tick.as_nanos() + 1) * tick.as_nanos();
        let tick_due_at = node.started_at + Duration::from_nanos(next_tick as u64);
        sleep_until(tick_due_at.into()).await;
        loop_delay.record(tick_due_at.elapsed());
        if let Some(takeover) = takeover {
            let stopping = stop_requested_at.is_some();
            std::iter::from_fn(|| inputs.try_recv().ok())
                .for_each(|input| apply_input(&node, node.now(), input));
            let signals = (&mut terminate, &mut interrupt);
            match handover::hand_over(
                &node,
                stopping,
                takeover,
                &mut takeover_requests,
                signals,
                &mut transfers,
                &mut inputs,
            )
            .await
            {
                HandoverResult::Resumed { stopping } => stop_signalled |= stopping,
                HandoverResult::Ended => return ExitAction::Exit,
                HandoverResult::Restart => return ExitAction::Restart,
            }
        }
        if panics::dispatcher_panicked() {
            return ExitAction::Restart;
        }
        node.fleet.refresh(&node);
        let now = node.now();
        if stop_signalled && stop_requested_at.is_none() {
            log::info(format_args!("{now:.3} told to stop"));
            stop_requested_at = Some(now);
            node.shutting_down.set(true);
            let leaving_node = node.clone();
            spawn_local(async move { leaving_node.fleet.leave_fleet(&leaving_node).await });
            node.metrics.set_ready(false);
            node.dispatcher.borrow_mut().handle(now, Event::ShutdownAt(now + CALLS_DEADLINE_SECONDS));
        }
        let more_inputs = std::iter::from_fn(|| inputs.try_recv().ok());
        first_input.into_iter().chain(more_inputs).for_each(|input| apply_input(&node, now, input));
        if let Some((token, _)) = timer.take_if(|(_, due)| *due <= now) {
            node.dispatcher.borrow_mut().handle(now, Event::TimerFired(token));
        }
        actions.clear();
        node.dispatcher.borrow_mut().decide(now, &mut actions);
        execute(&node, now, &actions, &mut timer);
        compactor.step(&node);
        node.metrics.set_gauges(control::gauges(&node));
        if now >= traffic_logged_at + TRAFFIC_LINE_INTERVAL_SECONDS {
            traffic_logged_at = now;
            let journal = node.journal.borrow();
            let open_messages = journal.iter().filter(|(_, entry)| entry.notice.is_none());
            let ages = open_messages.map(|(_, entry)| {
                (entry.message.destination, -node.to_monotonic(entry.message.accepted_at) + now)
            });
            node.traffic.take_line(now, ages).inspect(|line| log::info_limited(line));
            drop(journal);
            resource_log.take_line(&node, now).inspect(|line| log::info(line));
            loop_delay.take_line(now).inspect(|line| log::info(line));
        }
        let is_sweep_due = now >= sweep_at;
        if is_sweep_due || node.unproven.take_requested_check() {
            unproven::check(&node);
        }
        if is_sweep_due {
            sweep_at = now + if stop_requested_at.is_some() { 0.05 } else { 0.5 };
            node.overrides.retry_save();
            node.pool.sweep(
                connection_pool::idle_reuse_limit(&node),
                node.config.limits.max_idle_connections(node.config.settings.max_concurrent_calls),
            );
        }
        if let Some(stop_requested_at) = stop_requested_at {
            if now - stop_requested_at >= CLOSE_CLIENTS_SECONDS {
                node.close_clients.send_if_modified(|close_clients| !std::mem::replace(close_clients, true));
            }
            let journal = node.journal.borrow();
            let is_empty = journal.iter().next().is_none() && now - stop_requested_at >= MIN_EXIT_SECONDS;
            let is_done = node.calls_in_flight.get() == 0
                && node.clients.awaiting_response() == 0
                && (is_empty || now - stop_requested_at >= CALLS_DEADLINE_SECONDS);
            if is_done || now - stop_requested_at >= EXIT_DEADLINE_SECONDS {
                log::info(format_args!(
                    "{now:.3} ending: {} messages and {} notices on record, {} calls out, {} requests unanswered",
                    journal.open_messages(),
                    journal.pending_notices().count(),
                    node.calls_in_flight.get(),
                    node.clients.awaiting_response(),
                ));
                return ExitAction::Exit;
            }
        }
    }
}
