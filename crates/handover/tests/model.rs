//! Every order of events of an upgrade: the two sides, the lock, the link between them, kills at any point, and a sender
//! that loses patience. Checked state by state.

use fawnspoke_handover::receiver::{self, ReceiverState};
use fawnspoke_handover::sender::{self, SenderState};
use stateright::{Checker, Model, Property};

/// Who holds the lock.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq)]
enum Holder {
    Nobody,
    Sender,
    Receiver(usize),
}

/// What is on its way, in order.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq)]
enum Packet {
    Hello,
    State,
    Refused,
    Mine,
    Unusable,
}

/// Where a model_state stands, without its times: these are chosen by the checker, as "time passes" steps.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq)]
enum SenderSide {
    Owner { stopping: bool },
    AwaitingReceiver { link_closed: bool, stopping: bool },
    Draining { drained: bool, stopping: bool },
    ReceiverLost { stopping: bool },
    Ended,
}

/// A new process, and its link to the sender.
#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct Receiver {
    state: ReceiverState,
    alive: bool,
    /// None: no link. To the sender, to the state.
    link: Option<(Vec<Packet>, Vec<Packet>)>,
    /// The sender's end is open still.
    sender_end_open: bool,
    /// The own end is.
    receiver_end_open: bool,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct World {
    sender: SenderSide,
    sender_alive: bool,
    holder: Holder,
    receivers: Vec<Receiver>,
    /// The state that the sender has given to.
    handed_over_to: Option<usize>,
    /// A call of the sender is out on an open connection.
    call_in_flight: bool,
    /// The sender shares the lock of those that may have calls out.
    calls_lock_held: bool,
    /// Both have sent that message while the other's attempt was out.
    sent_twice: bool,
    /// The sender began anew: it is a state like any other then, and out of this picture.
    restarted: bool,
    kills: u8,
    terminated: bool,
    /// What came can be used.
    usable: bool,
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
    Finished,
    Terminate,
    KillSender,
    KillReceiver(usize),
    KillAll,
}

struct Upgrade {
    kills: u8,
    receivers: usize,
}

/// The sender_state in a state, at a time when all its spans have passed or none has.
fn sender_state(model_state: SenderSide, timeouts_elapsed: bool) -> (SenderState, f64) {
    let now = 100.0;
    let at = if timeouts_elapsed { now } else { now + 50.0 };
    let sender = match model_state {
        SenderSide::Owner { stopping } => SenderState::Owner { stopping },
        SenderSide::AwaitingReceiver { link_closed, stopping } => {
            let link_closed_at = link_closed.then_some(if timeouts_elapsed { 0.0 } else { now });
            SenderState::AwaitingReceiver { timeout_at: at, lock_retry_at: at, link_closed_at, stopping }
        }
        SenderSide::Draining { drained, stopping } => {
            let exit_at = (stopping || drained).then_some(at);
            SenderState::Draining { drained, exit_at }
        }
        SenderSide::ReceiverLost { stopping } => SenderState::ReceiverLost {
            since: if timeouts_elapsed { 0.0 } else { now },
            lock_retry_at: at,
            stopping,
        },
        SenderSide::Ended => SenderState::Ended,
    };
    (sender, now)
}

fn model_state(state: SenderState) -> SenderSide {
    match state {
        SenderState::Owner { stopping } => SenderSide::Owner { stopping },
        SenderState::AwaitingReceiver { link_closed_at, stopping, .. } => {
            SenderSide::AwaitingReceiver { link_closed: link_closed_at.is_some(), stopping }
        }
        SenderState::Draining { drained, exit_at } => {
            SenderSide::Draining { drained, stopping: exit_at.is_some() && !drained }
        }
        SenderState::ReceiverLost { stopping, .. } => SenderSide::ReceiverLost { stopping },
        SenderState::Ended => SenderSide::Ended,
    }
}

impl World {
    fn sender_event(&mut self, event: sender::Event, timeouts_elapsed: bool) {
        let mut next = Some(event);
        while let Some(event) = next.take() {
            let (mut sender_state, now) = sender_state(self.sender, timeouts_elapsed);
            let actions = sender_state.step(now, event);
            self.sender = model_state(sender_state);
            for action in actions {
                match action {
                    // Whoever asked hears it where that is known.
                    sender::Action::Reject(_) => {}
                    sender::Action::HandOver => {
                        self.holder = Holder::Nobody;
                        if let Some(to) = self.handed_over_to {
                            self.send_to_receiver(to, Packet::State);
                        }
                    }
                    sender::Action::TryLock => {
                        let got = matches!(self.holder, Holder::Nobody | Holder::Sender);
                        if got {
                            self.holder = Holder::Sender;
                        }
                        next = Some(sender::Event::LockResult(got));
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

    /// The sender closes the link that it has given over.
    fn close_link(&mut self) {
        if let Some(to) = self.handed_over_to.take() {
            self.receivers[to].sender_end_open = false;
        }
    }

    fn end_sender(&mut self) {
        self.sender_alive = false;
        self.sender = SenderSide::Ended;
        self.receivers.iter_mut().for_each(|state| state.sender_end_open = false);
        (self.call_in_flight, self.calls_lock_held) = (false, false);
        if self.holder == Holder::Sender {
            self.holder = Holder::Nobody;
        }
    }

    fn receiver_event(&mut self, i: usize, event: receiver::Event) {
        let mut next = Some(event);
        while let Some(event) = next.take() {
            for action in self.receivers[i].state.step(event) {
                match action {
                    receiver::Action::Connect => {
                        // One that is finishing has closed its doorstep, and an owner beside it has one of its own,
                        // which is found or not: not to find it is the worse.
                        let there = self.sender_alive && !self.restarted;
                        let there = there
                            && matches!(
                                self.sender,
                                SenderSide::Owner { .. } | SenderSide::AwaitingReceiver { .. }
                            );
                        let one = &mut self.receivers[i];
                        if there && one.link.is_none() {
                            one.link = Some((vec![], vec![]));
                            (one.sender_end_open, one.receiver_end_open) = (true, true);
                        }
                        // A link before this one that the sender has not done with: it hears nobody else meanwhile.
                        next = Some(match there {
                            true if one.receiver_end_open => receiver::Event::Connected,
                            true => receiver::Event::Rejected,
                            false => receiver::Event::NoListener,
                        });
                    }
                    receiver::Action::RequestState { .. } => self.send_to_sender(i, Packet::Hello),
                    receiver::Action::ReportUnusable => {
                        self.send_to_sender(i, Packet::Unusable);
                        self.receivers[i].receiver_end_open = false;
                    }
                    receiver::Action::TryLock => {
                        let got = self.holder == Holder::Nobody || self.holder == Holder::Receiver(i);
                        if got {
                            self.holder = Holder::Receiver(i);
                        }
                        next = Some(receiver::Event::LockResult(got));
                    }
                    receiver::Action::CheckCallsDrained => {
                        next = Some(receiver::Event::CallsDrained(!self.calls_lock_held))
                    }
                    receiver::Action::CheckLink => {
                        next = Some(receiver::Event::LinkChecked(self.receivers[i].sender_end_open))
                    }
                    receiver::Action::Unlock => self.holder = Holder::Nobody,
                    receiver::Action::DiscardState => self.receivers[i].receiver_end_open = false,
                    receiver::Action::ScheduleRetry => {}
                    receiver::Action::TakeOver => self.send_to_sender(i, Packet::Mine),
                    // From what is on record alone, a call without an end is taken for ended.
                    receiver::Action::StartFromJournal => self.sent_twice |= self.call_in_flight,
                }
            }
        }
    }

    fn send_to_sender(&mut self, i: usize, packet: Packet) {
        let one = &mut self.receivers[i];
        if one.receiver_end_open
            && let Some((to, _)) = &mut one.link
        {
            to.push(packet);
        }
    }

    fn send_to_receiver(&mut self, i: usize, packet: Packet) {
        let one = &mut self.receivers[i];
        if one.sender_end_open
            && let Some((_, to)) = &mut one.link
        {
            to.push(packet);
        }
    }

    /// A link that nobody holds is none.
    fn drop_closed_links(&mut self) {
        for one in &mut self.receivers {
            if !one.sender_end_open && !one.receiver_end_open {
                one.link = None;
            }
        }
    }

    fn owner_count(&self) -> usize {
        let sender = self.sender_alive && matches!(self.sender, SenderSide::Owner { .. });
        usize::from(sender) + self.receivers.iter().filter(|one| one.alive && one.state.is_owner()).count()
    }
}

impl Model for Upgrade {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let receiver = Receiver {
            state: ReceiverState::default(),
            alive: true,
            link: None,
            sender_end_open: false,
            receiver_end_open: false,
        };
        let world = |usable| World {
            sender: SenderSide::Owner { stopping: false },
            sender_alive: true,
            holder: Holder::Sender,
            receivers: vec![receiver.clone(); self.receivers],
            handed_over_to: None,
            call_in_flight: true,
            calls_lock_held: true,
            sent_twice: false,
            restarted: false,
            kills: 0,
            terminated: false,
            usable,
        };
        vec![world(true), world(false)]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let sender = world.sender_alive && !world.restarted && world.sender != SenderSide::Ended;
        for (i, one) in world.receivers.iter().enumerate() {
            if one.alive {
                match one.state {
                    ReceiverState::Connecting { .. } => steps.push(Step::ReceiverStarts(i)),
                    ReceiverState::Locking { .. } | ReceiverState::AwaitingCallDrain => {
                        steps.push(Step::ReceiverRetries(i))
                    }
                    _ => {}
                }
                if let Some((_, to)) = &one.link
                    && one.receiver_end_open
                {
                    if !to.is_empty() {
                        steps.push(Step::ReceiverReads(i));
                    } else if !one.sender_end_open {
                        steps.push(Step::ReceiverSeesLinkClose(i));
                    }
                }
                if world.kills < self.kills {
                    steps.push(Step::KillReceiver(i));
                }
            }
            if sender
                && let Some((to, _)) = &one.link
                && one.sender_end_open
            {
                if !to.is_empty() {
                    steps.push(Step::SenderReads(i));
                } else if !one.receiver_end_open {
                    steps.push(Step::SenderSeesLinkClose(i));
                }
            }
        }
        if sender {
            steps.extend([Step::SenderTicksAfterTimeouts, Step::SenderTicksBeforeTimeouts]);
            if matches!(world.sender, SenderSide::Draining { drained: false, .. }) && !world.call_in_flight {
                steps.push(Step::Finished);
            }
            if !world.terminated {
                steps.push(Step::Terminate);
            }
        }
        if world.sender_alive && world.call_in_flight {
            steps.push(Step::CallCompletes);
        }
        if world.kills < self.kills && world.sender_alive && !world.restarted {
            steps.extend([Step::KillSender, Step::KillAll]);
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::ReceiverStarts(i) => world.receiver_event(i, receiver::Event::Started),
            Step::ReceiverRetries(i) => world.receiver_event(i, receiver::Event::RetryDue),
            Step::ReceiverReads(i) => {
                let packet = world.receivers[i].link.as_mut().map(|(_, to)| to.remove(0))?;
                let event = match (packet, world.receivers[i].state) {
                    (Packet::Refused, _) => receiver::Event::Rejected,
                    // What the decisions hold is of no use, or was not asked for.
                    (Packet::State, ReceiverState::AwaitingState { without_decisions }) => {
                        receiver::Event::StateReceived(world.usable || without_decisions)
                    }
                    (Packet::State, _) => receiver::Event::StateReceived(true),
                    _ => return None,
                };
                world.receiver_event(i, event);
            }
            Step::ReceiverSeesLinkClose(i) => {
                world.receivers[i].receiver_end_open = false;
                if world.receivers[i].state.is_owner() {
                    // Whatever the sender had out has ended with its end of the link: its messages may go again.
                    world.sent_twice |= world.call_in_flight;
                } else {
                    world.receiver_event(i, receiver::Event::LinkClosed);
                }
            }
            Step::SenderReads(i) => {
                let packet = world.receivers[i].link.as_mut().map(|(to, _)| to.remove(0))?;
                let mine = world.handed_over_to == Some(i);
                match packet {
                    Packet::Hello if world.sender == (SenderSide::Owner { stopping: false }) => {
                        // Without the decisions' state the calls are broken off before anything is given.
                        if matches!(
                            world.receivers[i].state,
                            ReceiverState::AwaitingState { without_decisions: true }
                        ) {
                            world.call_in_flight = false;
                        }
                        world.handed_over_to = Some(i);
                        world.sender_event(sender::Event::HandoverRequested, false);
                    }
                    Packet::Hello => {
                        world.send_to_receiver(i, Packet::Refused);
                        world.receivers[i].sender_end_open = false;
                    }
                    Packet::Mine if mine => world.sender_event(sender::Event::OwnershipAcquired, false),
                    Packet::Unusable if mine => {
                        world.close_link();
                        world.sender_event(sender::Event::StateUnusable, false);
                    }
                    _ => return None,
                }
            }
            Step::SenderSeesLinkClose(i) => {
                world.receivers[i].sender_end_open = false;
                if world.handed_over_to == Some(i) {
                    world.handed_over_to = None;
                    world.sender_event(sender::Event::LinkClosed, false);
                }
            }
            Step::SenderTicksAfterTimeouts => world.sender_event(sender::Event::Tick, true),
            Step::SenderTicksBeforeTimeouts => world.sender_event(sender::Event::Tick, false),
            Step::CallCompletes => world.call_in_flight = false,
            Step::Finished => world.sender_event(sender::Event::Drained, false),
            Step::Terminate => {
                world.terminated = true;
                world.sender_event(sender::Event::Terminate, false);
            }
            Step::KillSender | Step::KillReceiver(_) | Step::KillAll => {
                world.kills += 1;
                if !matches!(step, Step::KillReceiver(_)) {
                    world.end_sender();
                }
                for i in 0..self.receivers {
                    if step == Step::KillAll || step == Step::KillReceiver(i) {
                        (world.receivers[i].alive, world.receivers[i].receiver_end_open) = (false, false);
                        if world.holder == Holder::Receiver(i) {
                            world.holder = Holder::Nobody;
                        }
                    }
                }
            }
        }
        world.drop_closed_links();
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one owner at most", |_, world: &World| world.owner_count() <= 1),
            Property::always("who owns holds the lock", |_, world: &World| {
                let sender = world.sender_alive && matches!(world.sender, SenderSide::Owner { .. });
                let receivers = world.receivers.iter().enumerate();
                let mut owners = receivers.filter(|(_, one)| one.alive && one.state.is_owner());
                (!sender || world.holder == Holder::Sender)
                    && owners.all(|(i, _)| world.holder == Holder::Receiver(i))
            }),
            Property::always(
                "no message is sent by one while the other's attempt is out",
                |_, world: &World| !world.sent_twice,
            ),
            // Where one is alive it owns, or something can happen still: no dead end without an owner.
            Property::always("no process is stuck", |model: &Upgrade, world: &World| {
                let mut steps = Vec::new();
                model.actions(world, &mut steps);
                let moves = steps.into_iter().any(|step| {
                    !matches!(
                        step,
                        Step::KillAll | Step::KillSender | Step::KillReceiver(_) | Step::Terminate
                    ) && model.next_state(world, step).is_some()
                });
                let none = !world.sender_alive && world.receivers.iter().all(|one| !one.alive);
                world.owner_count() == 1 || world.restarted || none || moves
            }),
            Property::sometimes("a new one takes over", |_, world: &World| {
                world.receivers[0].state.is_owner() && matches!(world.sender, SenderSide::Draining { .. })
            }),
            Property::sometimes("the old one serves on", |_, world: &World| {
                world.kills > 0
                    && matches!(world.sender, SenderSide::Owner { .. })
                    && world.handed_over_to.is_none()
            }),
            Property::sometimes("an orphan begins anew", |_, world: &World| world.restarted),
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
fn one_owner_at_most_and_none_is_stuck() {
    check(1, 2, 200);
    check(2, 3, 5_000);
    check(3, 4, 50_000);
}
