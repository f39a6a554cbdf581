//! The rounds: what has happened goes to the decisions, and what they ask for is done. Nothing is decided here.

use crate::actions::execute;
use crate::calls::{self, CallEnd};
use crate::handover::{self, HandoverRequest, HandoverResult};
use crate::transfer::Transfer;
use crate::{Node, compaction, control, log};
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use tokio::time::sleep_until;
use waydoor::{AttemptEnd, EndpointId, Event, MessageId, Seconds};

/// From SIGTERM on: no call may be out later than this ...
const CALLS_END: Seconds = 3.0;
/// ... and the process ends by then, before the platform kills it.
const EXIT: Seconds = 3.3;
/// New connections come for up to 0.4 s. From then on those that are kept close, while somebody listens still: a request
/// that crosses the close comes once more on a new one.
const CLOSE_KEPT: Seconds = 0.45;
/// No sooner than this the process ends.
const EXIT_LEAST: Seconds = 0.8;

/// What passed is told so often.
const COUNT_EVERY: Seconds = 1.0;

/// What the round loop hears of.
pub enum Input {
    Event(Event),
    /// The client was told that the message is taken.
    Accepted {
        number: u64,
    },
    CallEnded {
        endpoint: EndpointId,
        sent_at: Seconds,
        end: CallEnd,
    },
}

/// Hands one input to the decisions.
pub fn apply_input(node: &Node, now: Seconds, input: Input) {
    let mut dispatcher = node.dispatcher.borrow_mut();
    match input {
        Input::Event(event) => dispatcher.handle(now, event),
        Input::Accepted { number } => {
            if let Some(message) = node.journaled_message(number) {
                node.traffic.update(message.destination.0, |counters| counters.accepted += 1);
                dispatcher.handle(now, Event::Accepted(message));
            }
        }
        Input::CallEnded { endpoint, sent_at, end } => {
            let CallEnd {
                ends,
                retry_after: wait,
                rate_limit_report: allowance,
                connection_reused: reused,
                connection_kept: kept,
            } = end;
            let latency = now - sent_at;
            for end in ends {
                let calls::MessageEnd { number, attempt, outcome, settled: closed } = end;
                let id = MessageId(number);
                dispatcher.handle(
                    now,
                    Event::AttemptEnded(AttemptEnd {
                        id,
                        endpoint,
                        attempt,
                        outcome,
                        retry_after: wait,
                        settled: closed,
                        latency,
                        rate_limit_report: allowance,
                        connection_reused: reused,
                        connection_kept: kept,
                    }),
                );
            }
        }
    }
}

/// What the rounds hear from outside of them.
pub struct EventSources {
    pub inbox: UnboundedReceiver<Input>,
    pub terminate: Signal,
    pub interrupt: Signal,
    /// Processes that are to take over.
    pub asked: UnboundedReceiver<HandoverRequest>,
    pub rest: UnboundedReceiver<Transfer>,
}

/// What the process does when the rounds have ended.
pub enum ExitAction {
    Exit,
    /// It begins anew.
    Restart,
}

/// Rounds, until the process is told to stop and has nothing out any more, or another one has taken over.
pub async fn run_event_loop(node: Rc<Node>, ears: EventSources) -> ExitAction {
    let EventSources { mut inbox, mut terminate, mut interrupt, mut asked, mut rest } = ears;
    let tick = Duration::from_secs_f64(node.config.tick_seconds);
    let at = |seconds: Seconds| -> tokio::time::Instant {
        (node.started_at + Duration::from_secs_f64(seconds.clamp(0.0, 1e9))).into()
    };
    let mut timer = None;
    let mut sweep_at = 0.0;
    let mut compactor = compaction::Compactor::default();
    let mut told_at = None;
    let mut counted_at = 0.0;
    let mut actions = Vec::new();
    loop {
        let due = timer.map_or(sweep_at, |(_, at): (u32, Seconds)| at.min(sweep_at));
        let mut stop = false;
        let mut taker = None;
        let first = tokio::select! {
            Some(asks) = asked.recv() => { taker = Some(asks); None }
            input = inbox.recv() => input,
            () = sleep_until(at(due)) => None,
            _ = terminate.recv() => { stop = true; None }
            _ = interrupt.recv() => { stop = true; None }
        };
        // What happens within a tick is one round.
        let next = (node.started_at.elapsed().as_nanos() / tick.as_nanos() + 1) * tick.as_nanos();
        sleep_until((node.started_at + Duration::from_nanos(next as u64)).into()).await;
        if let Some(taker) = taker {
            let stopping = told_at.is_some();
            std::iter::from_fn(|| inbox.try_recv().ok())
                .for_each(|input| apply_input(&node, node.now(), input));
            let signals = (&mut terminate, &mut interrupt);
            match handover::hand_over(&node, stopping, taker, &mut asked, signals, &mut rest).await {
                HandoverResult::Resumed { stopping } => stop |= stopping,
                HandoverResult::Ended => return ExitAction::Exit,
                HandoverResult::Restart => return ExitAction::Restart,
            }
        }
        node.fleet.refresh(&node);
        let now = node.now();
        if stop && told_at.is_none() {
            log::info(format_args!("{now:.3} told to stop"));
            told_at = Some(now);
            node.shutting_down.set(true);
            let leaving = node.clone();
            spawn_local(async move { leaving.fleet.leave_fleet(&leaving).await });
            node.metrics.set_ready(false);
            node.dispatcher.borrow_mut().handle(now, Event::ShutdownAt(now + CALLS_END));
        }
        let rest = std::iter::from_fn(|| inbox.try_recv().ok());
        first.into_iter().chain(rest).for_each(|input| apply_input(&node, now, input));
        if let Some((token, _)) = timer.take_if(|(_, at)| *at <= now) {
            node.dispatcher.borrow_mut().handle(now, Event::TimerFired(token));
        }
        actions.clear();
        node.dispatcher.borrow_mut().decide(now, &mut actions);
        execute(&node, now, &actions, &mut timer);
        compactor.step(&node);
        node.metrics.set_gauges(control::gauges(&node));
        if now >= counted_at + COUNT_EVERY {
            counted_at = now;
            let journal = node.journal.borrow();
            let open = journal.iter().filter(|(_, kept)| kept.notice.is_none());
            let ages = open.map(|(_, kept)| {
                (kept.message.destination, -node.to_monotonic(kept.message.accepted_at) + now)
            });
            node.traffic.take_line(now, ages).inspect(|line| log::info_limited(line));
        }
        if now >= sweep_at {
            sweep_at = now + if told_at.is_some() { 0.05 } else { 0.5 };
            node.overrides.retry_save();
            node.pool.sweep(
                calls::idle_reuse_limit(&node),
                node.config.limits.max_idle_connections(node.config.settings.max_concurrent_calls),
            );
        }
        if let Some(told_at) = told_at {
            if now - told_at >= CLOSE_KEPT {
                node.close_clients.send_if_modified(|stopping| !std::mem::replace(stopping, true));
            }
            let journal = node.journal.borrow();
            let idle = journal.iter().next().is_none() && now - told_at >= EXIT_LEAST;
            let quiet = node.calls_in_flight.get() == 0
                && node.clients.awaiting_response() == 0
                && (idle || now - told_at >= CALLS_END);
            if quiet || now - told_at >= EXIT {
                return ExitAction::Exit;
            }
        }
    }
}
