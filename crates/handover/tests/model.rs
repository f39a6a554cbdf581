//! Model check of an upgrade: explores all interleavings of one sender, several receivers, the lock, the links, kills
//! at any point and timeouts of the sender, and checks the properties below in every reachable state.

use fawnspoke_handover::receiver::{self, ReceiverState};
use fawnspoke_handover::sender::{self, SenderState};
use stateright::{Checker, Model, Property};

/// Which process holds the lock.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq)]
enum Holder {
    Unlocked,
    Sender,
    Receiver(usize),
}

/// A packet in transit.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq)]
enum Packet {
    Hello,
    State,
    Rejected,
    OwnershipAcquired,
    StateUnusable,
}

/// [`SenderState`] without its times. Whether timeouts have elapsed is a choice of the checker, made in separate steps.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq)]
enum AbstractSender {
    Owner { stopping: bool },
    AwaitingReceiver { link_closed: bool, stopping: bool },
    Draining { drained: bool, stopping: bool },
    ReceiverLost { stopping: bool },
    Ended,
}

/// A new process and its link to the sender.
#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct Receiver {
    state: ReceiverState,
    alive: bool,
    /// Packets in transit to the sender and to the receiver, in order; `None` without a link.
    link: Option<(Vec<Packet>, Vec<Packet>)>,
    /// Whether the sender's end of the link is open.
    sender_end_open: bool,
    /// Whether the receiver's end of the link is open.
    receiver_end_open: bool,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct ModelState {
    sender: AbstractSender,
    sender_alive: bool,
    holder: Holder,
    receivers: Vec<Receiver>,
    /// The receiver to which the sender has handed over.
    handed_over_to: Option<usize>,
    /// Whether a call of the sender is in flight.
    call_in_flight: bool,
    /// Whether the sender holds the shared lock of the processes with calls in flight.
    calls_lock_held: bool,
    /// Whether a message has been sent by one process while the other's attempt was in flight.
    sent_twice: bool,
    /// Whether the sender has restarted. From then on it would be one more receiver, which the model leaves out.
    restarted: bool,
    kills: u8,
    termination_sent: bool,
    /// Whether the receivers can use the state that the sender hands over.
    state_usable: bool,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
enum Step {
    ReceiverStarts(usize),
    ReceiverRetries(usize),
    SenderReads(usize),
    ReceiverReads(usize),
    SenderSeesLinkClose(usize),
    ReceiverSeesLinkClose(usize),
    SenderTicksAfterTimeouts,
    SenderTicksBeforeTimeouts,
    CallCompletes,
    Drained,
    Terminate,
    KillSender,
    KillReceiver(usize),
    KillAll,
}

struct Upgrade {
    kills: u8,
    receivers: usize,
}

/// The sender's state at a time when all of its timeouts have elapsed, or none.
fn concrete_state(abstract_state: AbstractSender, timeouts_elapsed: bool) -> (SenderState, f64) {
    let now = 100.0;
    let at = if timeouts_elapsed { now } else { now + 50.0 };
    let sender = match abstract_state {
        AbstractSender::Owner { stopping } => SenderState::Owner { stopping },
        AbstractSender::AwaitingReceiver { link_closed, stopping } => {
            let link_closed_at = link_closed.then_some(if timeouts_elapsed { 0.0 } else { now });
            SenderState::AwaitingReceiver { timeout_at: at, lock_retry_at: at, link_closed_at, stopping }
        }
        AbstractSender::Draining { drained, stopping } => {
            let exit_at = (stopping || drained).then_some(at);
            SenderState::Draining { drained, exit_at }
        }
        AbstractSender::ReceiverLost { stopping } => SenderState::ReceiverLost {
            since: if timeouts_elapsed { 0.0 } else { now },
            lock_retry_at: at,
            stopping,
        },
        AbstractSender::Ended => SenderState::Ended,
    };
    (sender, now)
}

fn abstract_state(state: SenderState) -> AbstractSender {
    match state {
        SenderState::Owner { stopping } => AbstractSender::Owner { stopping },
        SenderState::AwaitingReceiver { link_closed_at, stopping, .. } => {
            AbstractSender::AwaitingReceiver { link_closed: link_closed_at.is_some(), stopping }
        }
        SenderState::Draining { drained, exit_at } => {
            AbstractSender::Draining { drained, stopping: exit_at.is_some() && !drained }
        }
        SenderState::ReceiverLost { stopping, .. } => AbstractSender::ReceiverLost { stopping },
        SenderState::Ended => AbstractSender::Ended,
    }
}

impl ModelState {
    fn sender_event(&mut self, event: sender::Event, timeouts_elapsed: bool) {
        let mut next = Some(event);
        while let Some(event) = next.take() {
            let (mut concrete_state, now) = concrete_state(self.sender, timeouts_elapsed);
            let actions = concrete_state.step(now, event);
            self.sender = abstract_state(concrete_state);
            for action in actions {
                match action {
                    // A rejected receiver is answered where the packet is read.
                    sender::Action::Reject(_) => {}
                    sender::Action::HandOver => {
                        self.holder = Holder::Unlocked;
                        if let Some(i) = self.handed_over_to {
                            self.send_to_receiver(i, Packet::State);
                        }
                    }
                    sender::Action::TryLock => {
                        let acquired = matches!(self.holder, Holder::Unlocked | Holder::Sender);
                        if acquired {
                            self.holder = Holder::Sender;
                        }
                        next = Some(sender::Event::LockResult(acquired));
                    }
                    sender::Action::Resume => self.close_link(),
                    sender::Action::SendConnections => {}
                    sender::Action::AbortCalls => {
                        (self.call_in_flight, self.calls_lock_held) = (false, false)
                    }
                    sender::Action::Restart => {
                        self.restarted = true;
                        self.call_in_flight = false;
                    }
                    sender::Action::Exit => self.end_sender(),
                }
            }
        }
    }

    /// Closes the sender's end of the link to the receiver that it has handed over to.
    fn close_link(&mut self) {
        if let Some(i) = self.handed_over_to.take() {
            self.receivers[i].sender_end_open = false;
        }
    }

    fn end_sender(&mut self) {
        self.sender_alive = false;
        self.sender = AbstractSender::Ended;
        self.receivers.iter_mut().for_each(|receiver| receiver.sender_end_open = false);
        (self.call_in_flight, self.calls_lock_held) = (false, false);
        if self.holder == Holder::Sender {
            self.holder = Holder::Unlocked;
        }
    }

    fn receiver_event(&mut self, i: usize, event: receiver::Event) {
        let mut next = Some(event);
        while let Some(event) = next.take() {
            for action in self.receivers[i].state.step(event) {
                match action {
                    receiver::Action::Connect => {
                        // A draining sender has closed its socket. An owner next to it listens on a socket of its own,
                        // which may or may not be found; the model takes the worse case, that it is not.
                        let listening = self.sender_alive && !self.restarted;
                        let listening = listening
                            && matches!(
                                self.sender,
                                AbstractSender::Owner { .. } | AbstractSender::AwaitingReceiver { .. }
                            );
                        let receiver = &mut self.receivers[i];
                        if listening && receiver.link.is_none() {
                            receiver.link = Some((vec![], vec![]));
                            (receiver.sender_end_open, receiver.receiver_end_open) = (true, true);
                        }
                        // An earlier link that the sender has not closed yet keeps it from accepting another one.
                        next = Some(match listening {
                            true if receiver.receiver_end_open => receiver::Event::Connected,
                            true => receiver::Event::Rejected,
                            false => receiver::Event::NoListener,
                        });
                    }
                    receiver::Action::RequestState { .. } => self.send_to_sender(i, Packet::Hello),
                    receiver::Action::ReportUnusable => {
                        self.send_to_sender(i, Packet::StateUnusable);
                        self.receivers[i].receiver_end_open = false;
                    }
                    receiver::Action::TryLock => {
                        let acquired = self.holder == Holder::Unlocked || self.holder == Holder::Receiver(i);
                        if acquired {
                            self.holder = Holder::Receiver(i);
                        }
                        next = Some(receiver::Event::LockResult(acquired));
                    }
                    receiver::Action::CheckCallsDrained => {
                        next = Some(receiver::Event::CallsDrained(!self.calls_lock_held))
                    }
                    receiver::Action::CheckLink => {
                        next = Some(receiver::Event::LinkChecked(self.receivers[i].sender_end_open))
                    }
                    receiver::Action::Unlock => self.holder = Holder::Unlocked,
                    receiver::Action::DiscardState => self.receivers[i].receiver_end_open = false,
                    receiver::Action::ScheduleRetry => {}
                    receiver::Action::TakeOver => self.send_to_sender(i, Packet::OwnershipAcquired),
                    // A start from the journal treats a call without a recorded outcome as ended.
                    receiver::Action::StartFromJournal => self.sent_twice |= self.call_in_flight,
                }
            }
        }
    }

    fn send_to_sender(&mut self, i: usize, packet: Packet) {
        let receiver = &mut self.receivers[i];
        if receiver.receiver_end_open
            && let Some((to_sender, _)) = &mut receiver.link
        {
            to_sender.push(packet);
        }
    }

    fn send_to_receiver(&mut self, i: usize, packet: Packet) {
        let receiver = &mut self.receivers[i];
        if receiver.sender_end_open
            && let Some((_, to_receiver)) = &mut receiver.link
        {
            to_receiver.push(packet);
        }
    }

    /// Removes links that are closed at both ends.
    fn drop_closed_links(&mut self) {
        for receiver in &mut self.receivers {
            if !receiver.sender_end_open && !receiver.receiver_end_open {
                receiver.link = None;
            }
        }
    }

    fn owner_count(&self) -> usize {
        let sender_owns = self.sender_alive && matches!(self.sender, AbstractSender::Owner { .. });
        usize::from(sender_owns)
            + self.receivers.iter().filter(|receiver| receiver.alive && receiver.state.is_owner()).count()
    }
}

impl Model for Upgrade {
    type State = ModelState;
    type Action = Step;

    fn init_states(&self) -> Vec<ModelState> {
        let receiver = Receiver {
            state: ReceiverState::default(),
            alive: true,
            link: None,
            sender_end_open: false,
            receiver_end_open: false,
        };
        let model_state = |state_usable| ModelState {
            sender: AbstractSender::Owner { stopping: false },
            sender_alive: true,
            holder: Holder::Sender,
            receivers: vec![receiver.clone(); self.receivers],
            handed_over_to: None,
            call_in_flight: true,
            calls_lock_held: true,
            sent_twice: false,
            restarted: false,
            kills: 0,
            termination_sent: false,
            state_usable,
        };
        vec![model_state(true), model_state(false)]
    }

    fn actions(&self, model_state: &ModelState, steps: &mut Vec<Step>) {
        let sender_runs =
            model_state.sender_alive && !model_state.restarted && model_state.sender != AbstractSender::Ended;
        for (i, receiver) in model_state.receivers.iter().enumerate() {
            if receiver.alive {
                match receiver.state {
                    ReceiverState::Connecting { .. } => steps.push(Step::ReceiverStarts(i)),
                    ReceiverState::Locking { .. } | ReceiverState::AwaitingCallDrain => {
                        steps.push(Step::ReceiverRetries(i))
                    }
                    _ => {}
                }
                if let Some((_, to_receiver)) = &receiver.link
                    && receiver.receiver_end_open
                {
                    if !to_receiver.is_empty() {
                        steps.push(Step::ReceiverReads(i));
                    } else if !receiver.sender_end_open {
                        steps.push(Step::ReceiverSeesLinkClose(i));
                    }
                }
                if model_state.kills < self.kills {
                    steps.push(Step::KillReceiver(i));
                }
            }
            if sender_runs
                && let Some((to_sender, _)) = &receiver.link
                && receiver.sender_end_open
            {
                if !to_sender.is_empty() {
                    steps.push(Step::SenderReads(i));
                } else if !receiver.receiver_end_open {
                    steps.push(Step::SenderSeesLinkClose(i));
                }
            }
        }
        if sender_runs {
            steps.extend([Step::SenderTicksAfterTimeouts, Step::SenderTicksBeforeTimeouts]);
            if matches!(model_state.sender, AbstractSender::Draining { drained: false, .. })
                && !model_state.call_in_flight
            {
                steps.push(Step::Drained);
            }
            if !model_state.termination_sent {
                steps.push(Step::Terminate);
            }
        }
        if model_state.sender_alive && model_state.call_in_flight {
            steps.push(Step::CallCompletes);
        }
        if model_state.kills < self.kills && model_state.sender_alive && !model_state.restarted {
            steps.extend([Step::KillSender, Step::KillAll]);
        }
    }

    fn next_state(&self, last: &ModelState, step: Step) -> Option<ModelState> {
        let mut model_state = last.clone();
        match step {
            Step::ReceiverStarts(i) => model_state.receiver_event(i, receiver::Event::Started),
            Step::ReceiverRetries(i) => model_state.receiver_event(i, receiver::Event::RetryDue),
            Step::ReceiverReads(i) => {
                let packet =
                    model_state.receivers[i].link.as_mut().map(|(_, to_receiver)| to_receiver.remove(0))?;
                let event = match (packet, model_state.receivers[i].state) {
                    (Packet::Rejected, _) => receiver::Event::Rejected,
                    // The in-memory state is unusable, unless it was not requested.
                    (Packet::State, ReceiverState::AwaitingState { journal_only }) => {
                        receiver::Event::StateReceived(model_state.state_usable || journal_only)
                    }
                    (Packet::State, _) => receiver::Event::StateReceived(true),
                    _ => return None,
                };
                model_state.receiver_event(i, event);
            }
            Step::ReceiverSeesLinkClose(i) => {
                model_state.receivers[i].receiver_end_open = false;
                if model_state.receivers[i].state.is_owner() {
                    // The receiver takes the end of the link for the end of the sender's calls and may send their
                    // messages again.
                    model_state.sent_twice |= model_state.call_in_flight;
                } else {
                    model_state.receiver_event(i, receiver::Event::LinkClosed);
                }
            }
            Step::SenderReads(i) => {
                let packet =
                    model_state.receivers[i].link.as_mut().map(|(to_sender, _)| to_sender.remove(0))?;
                let from_selected_receiver = model_state.handed_over_to == Some(i);
                match packet {
                    Packet::Hello if model_state.sender == (AbstractSender::Owner { stopping: false }) => {
                        // Without the in-memory state the sender aborts its calls before it hands over.
                        if matches!(
                            model_state.receivers[i].state,
                            ReceiverState::AwaitingState { journal_only: true }
                        ) {
                            model_state.call_in_flight = false;
                        }
                        model_state.handed_over_to = Some(i);
                        model_state.sender_event(sender::Event::HandoverRequested, false);
                    }
                    Packet::Hello => {
                        model_state.send_to_receiver(i, Packet::Rejected);
                        model_state.receivers[i].sender_end_open = false;
                    }
                    Packet::OwnershipAcquired if from_selected_receiver => {
                        model_state.sender_event(sender::Event::OwnershipAcquired, false)
                    }
                    Packet::StateUnusable if from_selected_receiver => {
                        model_state.close_link();
                        model_state.sender_event(sender::Event::StateUnusable, false);
                    }
                    _ => return None,
                }
            }
            Step::SenderSeesLinkClose(i) => {
                model_state.receivers[i].sender_end_open = false;
                if model_state.handed_over_to == Some(i) {
                    model_state.handed_over_to = None;
                    model_state.sender_event(sender::Event::LinkClosed, false);
                }
            }
            Step::SenderTicksAfterTimeouts => model_state.sender_event(sender::Event::Tick, true),
            Step::SenderTicksBeforeTimeouts => model_state.sender_event(sender::Event::Tick, false),
            Step::CallCompletes => model_state.call_in_flight = false,
            Step::Drained => model_state.sender_event(sender::Event::Drained, false),
            Step::Terminate => {
                model_state.termination_sent = true;
                model_state.sender_event(sender::Event::Terminate, false);
            }
            Step::KillSender | Step::KillReceiver(_) | Step::KillAll => {
                model_state.kills += 1;
                if !matches!(step, Step::KillReceiver(_)) {
                    model_state.end_sender();
                }
                for i in 0..self.receivers {
                    if step == Step::KillAll || step == Step::KillReceiver(i) {
                        (model_state.receivers[i].alive, model_state.receivers[i].receiver_end_open) =
                            (false, false);
                        if model_state.holder == Holder::Receiver(i) {
                            model_state.holder = Holder::Unlocked;
                        }
                    }
                }
            }
        }
        model_state.drop_closed_links();
        (model_state != *last).then_some(model_state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one owner", |_, model_state: &ModelState| {
                model_state.owner_count() <= 1
            }),
            Property::always("the owner holds the lock", |_, model_state: &ModelState| {
                let sender_owns =
                    model_state.sender_alive && matches!(model_state.sender, AbstractSender::Owner { .. });
                let receivers = model_state.receivers.iter().enumerate();
                let mut owners =
                    receivers.filter(|(_, receiver)| receiver.alive && receiver.state.is_owner());
                (!sender_owns || model_state.holder == Holder::Sender)
                    && owners.all(|(i, _)| model_state.holder == Holder::Receiver(i))
            }),
            Property::always(
                "no message is sent while the other process's attempt is in flight",
                |_, model_state: &ModelState| !model_state.sent_twice,
            ),
            // While a process is alive, there is an owner or another step is possible.
            Property::always("no process is stuck", |model: &Upgrade, model_state: &ModelState| {
                let mut steps = Vec::new();
                model.actions(model_state, &mut steps);
                let can_progress = steps.into_iter().any(|step| {
                    !matches!(
                        step,
                        Step::KillAll | Step::KillSender | Step::KillReceiver(_) | Step::Terminate
                    ) && model.next_state(model_state, step).is_some()
                });
                let all_dead =
                    !model_state.sender_alive && model_state.receivers.iter().all(|receiver| !receiver.alive);
                model_state.owner_count() == 1 || model_state.restarted || all_dead || can_progress
            }),
            Property::sometimes("a receiver takes over", |_, model_state: &ModelState| {
                model_state.receivers[0].state.is_owner()
                    && matches!(model_state.sender, AbstractSender::Draining { .. })
            }),
            Property::sometimes("the sender resumes", |_, model_state: &ModelState| {
                model_state.kills > 0
                    && matches!(model_state.sender, AbstractSender::Owner { .. })
                    && model_state.handed_over_to.is_none()
            }),
            Property::sometimes("a sender that lost its receiver restarts", |_, model_state: &ModelState| {
                model_state.restarted
            }),
        ]
    }
}

fn check(receivers: usize, kills: u8, min_states: usize) {
    let checker = Upgrade { kills, receivers }.checker().threads(2).spawn_bfs().join();
    let states = checker.unique_state_count();
    println!("{receivers} new processes, {kills} kills: {states} states");
    checker.assert_properties();
    assert!(states >= min_states, "{states} states");
}

#[test]
fn at_most_one_owner_and_no_process_is_stuck() {
    check(1, 2, 200);
    check(2, 3, 5_000);
    check(3, 4, 50_000);
}
