//! Every order of events of an upgrade: the two sides, the lock, the link between them, kills at any point, and a giver
//! that loses patience. Checked state by state.

use fawnspoke_handover::giver::{self, Giver};
use fawnspoke_handover::taker::{self, Taker};
use stateright::{Checker, Model, Property};

/// Who holds the lock.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq)]
enum Holder {
    Nobody,
    Giver,
    Taker(usize),
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

/// Where a side stands, without its times: these are chosen by the checker, as "time passes" steps.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq)]
enum Side {
    Owner { stopping: bool },
    Given { broken: bool, stopping: bool },
    Finishing { finished: bool, stopping: bool },
    Orphan { stopping: bool },
    Over,
}

/// A new process, and its link to the giver.
#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct Newcomer {
    taker: Taker,
    alive: bool,
    /// None: no link. To the giver, to the taker.
    link: Option<(Vec<Packet>, Vec<Packet>)>,
    /// The giver's end is open still.
    giver_end: bool,
    /// The own end is.
    taker_end: bool,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct World {
    giver: Side,
    giver_alive: bool,
    holder: Holder,
    takers: Vec<Newcomer>,
    /// The taker that the giver has given to.
    given_to: Option<usize>,
    /// A call of the giver is out on an open connection.
    call_out: bool,
    /// The giver shares the lock of those that may have calls out.
    calls_lock: bool,
    /// Both have sent that message while the other's attempt was out.
    doubled: bool,
    /// The giver began anew: it is a taker like any other then, and out of this picture.
    restarted: bool,
    kills: u8,
    told: bool,
    /// What came can be used.
    usable: bool,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
enum Step {
    TakerBegins(usize),
    TakerAgain(usize),
    GiverReads(usize),
    TakerReads(usize),
    GiverSeesEnd(usize),
    TakerSeesEnd(usize),
    GiverImpatient,
    GiverTicks,
    CallEnds,
    Finished,
    Terminate,
    KillGiver,
    KillTaker(usize),
    KillAll,
}

struct Upgrade {
    kills: u8,
    takers: usize,
}

/// The machine in a state, at a time when all its spans have passed or none has.
fn machine(side: Side, late: bool) -> (Giver, f64) {
    let now = 100.0;
    let at = if late { now } else { now + 50.0 };
    let giver = match side {
        Side::Owner { stopping } => Giver::Owner { stopping },
        Side::Given { broken, stopping } => {
            let broken = broken.then_some(if late { 0.0 } else { now });
            Giver::Given { doubt_at: at, try_at: at, broken, stopping }
        }
        Side::Finishing { finished, stopping } => {
            let end_at = (stopping || finished).then_some(at);
            Giver::Finishing { finished, end_at }
        }
        Side::Orphan { stopping } => {
            Giver::Orphan { since: if late { 0.0 } else { now }, try_at: at, stopping }
        }
        Side::Over => Giver::Over,
    };
    (giver, now)
}

fn side(giver: Giver) -> Side {
    match giver {
        Giver::Owner { stopping } => Side::Owner { stopping },
        Giver::Given { broken, stopping, .. } => Side::Given { broken: broken.is_some(), stopping },
        Giver::Finishing { finished, end_at } => {
            Side::Finishing { finished, stopping: end_at.is_some() && !finished }
        }
        Giver::Orphan { stopping, .. } => Side::Orphan { stopping },
        Giver::Over => Side::Over,
    }
}

impl World {
    fn giver(&mut self, event: giver::Event, late: bool) {
        let mut next = Some(event);
        while let Some(event) = next.take() {
            let (mut machine, now) = machine(self.giver, late);
            let actions = machine.step(now, event);
            self.giver = side(machine);
            for action in actions {
                match action {
                    // Whoever asked hears it where that is known.
                    giver::Action::Refuse(_) => {}
                    giver::Action::Give => {
                        self.holder = Holder::Nobody;
                        if let Some(to) = self.given_to {
                            self.post_taker(to, Packet::State);
                        }
                    }
                    giver::Action::TryLock => {
                        let got = matches!(self.holder, Holder::Nobody | Holder::Giver);
                        if got {
                            self.holder = Holder::Giver;
                        }
                        next = Some(giver::Event::Locked(got));
                    }
                    giver::Action::Resume => self.hang_up(),
                    giver::Action::HandRest => {}
                    giver::Action::Cut => (self.call_out, self.calls_lock) = (false, false),
                    giver::Action::Restart => {
                        self.restarted = true;
                        self.call_out = false;
                    }
                    giver::Action::Exit => self.giver_ends(),
                }
            }
        }
    }

    /// The giver closes the link that it has given over.
    fn hang_up(&mut self) {
        if let Some(to) = self.given_to.take() {
            self.takers[to].giver_end = false;
        }
    }

    fn giver_ends(&mut self) {
        self.giver_alive = false;
        self.giver = Side::Over;
        self.takers.iter_mut().for_each(|taker| taker.giver_end = false);
        (self.call_out, self.calls_lock) = (false, false);
        if self.holder == Holder::Giver {
            self.holder = Holder::Nobody;
        }
    }

    fn taker(&mut self, i: usize, event: taker::Event) {
        let mut next = Some(event);
        while let Some(event) = next.take() {
            for action in self.takers[i].taker.step(event) {
                match action {
                    taker::Action::Connect => {
                        // One that is finishing has closed its doorstep, and an owner beside it has one of its own,
                        // which is found or not: not to find it is the worse.
                        let there = self.giver_alive && !self.restarted;
                        let there = there && matches!(self.giver, Side::Owner { .. } | Side::Given { .. });
                        let one = &mut self.takers[i];
                        if there && one.link.is_none() {
                            one.link = Some((vec![], vec![]));
                            (one.giver_end, one.taker_end) = (true, true);
                        }
                        // A link before this one that the giver has not done with: it hears nobody else meanwhile.
                        next = Some(match there {
                            true if one.taker_end => taker::Event::Connected,
                            true => taker::Event::Refused,
                            false => taker::Event::Nobody,
                        });
                    }
                    taker::Action::Ask { .. } => self.post_giver(i, Packet::Hello),
                    taker::Action::SayUnusable => {
                        self.post_giver(i, Packet::Unusable);
                        self.takers[i].taker_end = false;
                    }
                    taker::Action::TryLock => {
                        let got = self.holder == Holder::Nobody || self.holder == Holder::Taker(i);
                        if got {
                            self.holder = Holder::Taker(i);
                        }
                        next = Some(taker::Event::Locked(got));
                    }
                    taker::Action::TryQuiet => next = Some(taker::Event::Quiet(!self.calls_lock)),
                    taker::Action::Confirm => next = Some(taker::Event::Linked(self.takers[i].giver_end)),
                    taker::Action::Unlock => self.holder = Holder::Nobody,
                    taker::Action::Drop => self.takers[i].taker_end = false,
                    taker::Action::Wait => {}
                    taker::Action::Own => self.post_giver(i, Packet::Mine),
                    // From what is on record alone, a call without an end is taken for ended.
                    taker::Action::Begin => self.doubled |= self.call_out,
                }
            }
        }
    }

    fn post_giver(&mut self, i: usize, packet: Packet) {
        let one = &mut self.takers[i];
        if one.taker_end
            && let Some((to, _)) = &mut one.link
        {
            to.push(packet);
        }
    }

    fn post_taker(&mut self, i: usize, packet: Packet) {
        let one = &mut self.takers[i];
        if one.giver_end
            && let Some((_, to)) = &mut one.link
        {
            to.push(packet);
        }
    }

    /// A link that nobody holds is none.
    fn tidy(&mut self) {
        for one in &mut self.takers {
            if !one.giver_end && !one.taker_end {
                one.link = None;
            }
        }
    }

    fn owning(&self) -> usize {
        let giver = self.giver_alive && matches!(self.giver, Side::Owner { .. });
        usize::from(giver) + self.takers.iter().filter(|one| one.alive && one.taker.owns()).count()
    }
}

impl Model for Upgrade {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let newcomer =
            Newcomer { taker: Taker::default(), alive: true, link: None, giver_end: false, taker_end: false };
        let world = |usable| World {
            giver: Side::Owner { stopping: false },
            giver_alive: true,
            holder: Holder::Giver,
            takers: vec![newcomer.clone(); self.takers],
            given_to: None,
            call_out: true,
            calls_lock: true,
            doubled: false,
            restarted: false,
            kills: 0,
            told: false,
            usable,
        };
        vec![world(true), world(false)]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let giver = world.giver_alive && !world.restarted && world.giver != Side::Over;
        for (i, one) in world.takers.iter().enumerate() {
            if one.alive {
                match one.taker {
                    Taker::Looking { .. } => steps.push(Step::TakerBegins(i)),
                    Taker::Locking { .. } | Taker::Quieting => steps.push(Step::TakerAgain(i)),
                    _ => {}
                }
                if let Some((_, to)) = &one.link
                    && one.taker_end
                {
                    if !to.is_empty() {
                        steps.push(Step::TakerReads(i));
                    } else if !one.giver_end {
                        steps.push(Step::TakerSeesEnd(i));
                    }
                }
                if world.kills < self.kills {
                    steps.push(Step::KillTaker(i));
                }
            }
            if giver
                && let Some((to, _)) = &one.link
                && one.giver_end
            {
                if !to.is_empty() {
                    steps.push(Step::GiverReads(i));
                } else if !one.taker_end {
                    steps.push(Step::GiverSeesEnd(i));
                }
            }
        }
        if giver {
            steps.extend([Step::GiverImpatient, Step::GiverTicks]);
            if matches!(world.giver, Side::Finishing { finished: false, .. }) && !world.call_out {
                steps.push(Step::Finished);
            }
            if !world.told {
                steps.push(Step::Terminate);
            }
        }
        if world.giver_alive && world.call_out {
            steps.push(Step::CallEnds);
        }
        if world.kills < self.kills && world.giver_alive && !world.restarted {
            steps.extend([Step::KillGiver, Step::KillAll]);
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::TakerBegins(i) => world.taker(i, taker::Event::Begin),
            Step::TakerAgain(i) => world.taker(i, taker::Event::Again),
            Step::TakerReads(i) => {
                let packet = world.takers[i].link.as_mut().map(|(_, to)| to.remove(0))?;
                let event = match (packet, world.takers[i].taker) {
                    (Packet::Refused, _) => taker::Event::Refused,
                    // What the decisions hold is of no use, or was not asked for.
                    (Packet::State, Taker::Asking { without }) => {
                        taker::Event::Given(world.usable || without)
                    }
                    (Packet::State, _) => taker::Event::Given(true),
                    _ => return None,
                };
                world.taker(i, event);
            }
            Step::TakerSeesEnd(i) => {
                world.takers[i].taker_end = false;
                if world.takers[i].taker.owns() {
                    // Whatever the giver had out has ended with its end of the link: its messages may go again.
                    world.doubled |= world.call_out;
                } else {
                    world.taker(i, taker::Event::Broken);
                }
            }
            Step::GiverReads(i) => {
                let packet = world.takers[i].link.as_mut().map(|(to, _)| to.remove(0))?;
                let mine = world.given_to == Some(i);
                match packet {
                    Packet::Hello if world.giver == (Side::Owner { stopping: false }) => {
                        // Without the decisions' state the calls are broken off before anything is given.
                        if matches!(world.takers[i].taker, Taker::Asking { without: true }) {
                            world.call_out = false;
                        }
                        world.given_to = Some(i);
                        world.giver(giver::Event::Asked, false);
                    }
                    Packet::Hello => {
                        world.post_taker(i, Packet::Refused);
                        world.takers[i].giver_end = false;
                    }
                    Packet::Mine if mine => world.giver(giver::Event::Mine, false),
                    Packet::Unusable if mine => {
                        world.hang_up();
                        world.giver(giver::Event::Unusable, false);
                    }
                    _ => return None,
                }
            }
            Step::GiverSeesEnd(i) => {
                world.takers[i].giver_end = false;
                if world.given_to == Some(i) {
                    world.given_to = None;
                    world.giver(giver::Event::Broken, false);
                }
            }
            Step::GiverImpatient => world.giver(giver::Event::Tick, true),
            Step::GiverTicks => world.giver(giver::Event::Tick, false),
            Step::CallEnds => world.call_out = false,
            Step::Finished => world.giver(giver::Event::Finished, false),
            Step::Terminate => {
                world.told = true;
                world.giver(giver::Event::Terminate, false);
            }
            Step::KillGiver | Step::KillTaker(_) | Step::KillAll => {
                world.kills += 1;
                if !matches!(step, Step::KillTaker(_)) {
                    world.giver_ends();
                }
                for i in 0..self.takers {
                    if step == Step::KillAll || step == Step::KillTaker(i) {
                        (world.takers[i].alive, world.takers[i].taker_end) = (false, false);
                        if world.holder == Holder::Taker(i) {
                            world.holder = Holder::Nobody;
                        }
                    }
                }
            }
        }
        world.tidy();
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one owner at most", |_, world: &World| world.owning() <= 1),
            Property::always("who owns holds the lock", |_, world: &World| {
                let giver = world.giver_alive && matches!(world.giver, Side::Owner { .. });
                let takers = world.takers.iter().enumerate();
                let mut owners = takers.filter(|(_, one)| one.alive && one.taker.owns());
                (!giver || world.holder == Holder::Giver)
                    && owners.all(|(i, _)| world.holder == Holder::Taker(i))
            }),
            Property::always(
                "no message is sent by one while the other's attempt is out",
                |_, world: &World| !world.doubled,
            ),
            // Where one is alive it owns, or something can happen still: no dead end without an owner.
            Property::always("no process is stuck", |model: &Upgrade, world: &World| {
                let mut steps = Vec::new();
                model.actions(world, &mut steps);
                let moves = steps.into_iter().any(|step| {
                    !matches!(step, Step::KillAll | Step::KillGiver | Step::KillTaker(_) | Step::Terminate)
                        && model.next_state(world, step).is_some()
                });
                let none = !world.giver_alive && world.takers.iter().all(|one| !one.alive);
                world.owning() == 1 || world.restarted || none || moves
            }),
            Property::sometimes("a new one takes over", |_, world: &World| {
                world.takers[0].taker.owns() && matches!(world.giver, Side::Finishing { .. })
            }),
            Property::sometimes("the old one serves on", |_, world: &World| {
                world.kills > 0 && matches!(world.giver, Side::Owner { .. }) && world.given_to.is_none()
            }),
            Property::sometimes("an orphan begins anew", |_, world: &World| world.restarted),
        ]
    }
}

fn check(takers: usize, kills: u8, least: usize) {
    let checker = Upgrade { kills, takers }.checker().threads(2).spawn_bfs().join();
    let states = checker.unique_state_count();
    println!("{takers} new processes, {kills} kills: {states} states");
    checker.assert_properties();
    assert!(states >= least, "{states} states");
}

#[test]
fn one_owner_at_most_and_none_is_stuck() {
    check(1, 2, 200);
    check(2, 3, 5_000);
    check(3, 4, 50_000);
}
