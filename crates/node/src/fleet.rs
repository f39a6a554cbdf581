//! The one place where parts outside of the decisions meet the rounds: they get facts and the time, and give bounds back.
//! A bound holds back or hastens, and ends by itself; nothing here waits for a part.

use crate::config::Config;
use crate::serving::Phase;
use crate::{Node, log};
use fawnspoke_cluster::clock;
use fawnspoke_cluster::shell::{self, Member};
use fawnspoke_duty::Seconds as BootSeconds;
use fawnspoke_duty::duties::{Duties, Fact, News, Settings};
use fawnspoke_duty::lists::Pace;
use fawnspoke_duty::roll::{Name, Word};
use fawnspoke_duty::tries::{Bound, Fact as Of};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use waydoor::{EndpointEntry, Event, Outcome};

/// The thread answers an operator by then, or the answer is no.
const SHOW_TIME: Duration = Duration::from_millis(500);

/// What binds this dispatcher, and the parts that say so. Without the fleet's file there are none.
pub struct Bounds {
    member: RefCell<Option<Member<Fact>>>,
    news: UnboundedSender<News>,
    heard: RefCell<Option<UnboundedReceiver<News>>>,
    /// Destinations that are out for the decisions, and what binds tries there.
    out: RefCell<BTreeMap<u32, Bound>>,
    /// Destinations held back now.
    back: RefCell<BTreeSet<u32>>,
    pace: Cell<Pace>,
    seq: Cell<Option<u64>>,
    /// How long a bound holds back that nobody renews.
    hold_most: BootSeconds,
    /// Discovery's watch has ended, and nothing has come since.
    unlisted: Cell<bool>,
    /// Each act under a duty is a line in the log.
    history: bool,
}

/// What a bound lets this dispatcher do now.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Now {
    /// As alone.
    Free,
    /// Nothing goes there.
    Held,
    /// It tries for all, under this epoch.
    Mine(u64),
}

/// A bound ends by itself, also where the member's thread has ended with it: a holder whose term is over holds back for as
/// long as others would, and is alone then.
fn now_by(bound: Bound, now: BootSeconds, hold_most: BootSeconds) -> Now {
    match bound {
        Bound::Mine(epoch, until) if now < until => Now::Mine(epoch),
        Bound::Mine(_, until) if now < until + hold_most => Now::Held,
        Bound::Held(until) if now < until => Now::Held,
        _ => Now::Free,
    }
}

impl Bounds {
    /// None are in force.
    pub fn new(config: &Config) -> Bounds {
        let (news, heard) = unbounded_channel();
        Bounds {
            member: RefCell::default(),
            news,
            heard: RefCell::new(Some(heard)),
            out: RefCell::default(),
            back: RefCell::default(),
            pace: Cell::new(Pace::Own),
            seq: Cell::new(None),
            hold_most: config.fleet.as_ref().map_or(0.0, |file| file.hold_most_s),
            unlisted: Cell::new(false),
            history: config.fleet.as_ref().is_some_and(|file| file.history),
        }
    }

    /// Begins the member, where this dispatcher is to be one. It takes its record once whoever has it lets it go.
    pub fn begin(&self, config: &Config) {
        let Some(file) = &config.fleet else { return };
        let of =
            shell::Settings { file: file.clone(), name: config.name.clone(), state: config.state.clone() };
        let duties = Settings { rules: planted(), ..Settings::of(file) };
        let part = move || Duties::new(duties.clone(), fastrand::u64(..u64::MAX / 2));
        match shell::begin(of, part, self.news.clone()) {
            Ok(member) => drop(self.member.replace(Some(member))),
            Err(error) => {
                log::info_limited(format_args!("fleet: no thread: {error}; this dispatcher is alone"))
            }
        }
    }

    fn tell(&self, fact: Fact) {
        if let Some(member) = &*self.member.borrow() {
            member.tell(fact);
        }
    }

    /// The decisions take a destination for out, or no more.
    pub fn out(&self, node: &Node, destination: u32, out: bool) {
        if self.member.borrow().is_none() || node.directory.borrow().routes_apart(&node.config, destination) {
            return;
        }
        if out {
            self.out.borrow_mut().entry(destination).or_insert(Bound::Free);
            self.tell(Fact::Tries(Of::Out(destination)));
        } else if self.out.borrow_mut().remove(&destination).is_some() {
            self.tell(Fact::Tries(Of::Well(destination)));
        }
    }

    /// How a call or a probe ended at a destination.
    pub fn ended(&self, destination: u32, outcomes: impl IntoIterator<Item = Outcome>) {
        if !self.out.borrow().contains_key(&destination) {
            return;
        }
        for outcome in outcomes {
            match outcome {
                Outcome::Served => self.tell(Fact::Tries(Of::Served(destination))),
                Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::ConnectionReset => {
                    self.tell(Fact::Tries(Of::Failed(destination)));
                }
                _ => {}
            }
        }
    }

    /// Another member, which tries for this one, has found a destination out still: as if a probe of the own had failed.
    /// Without it the decisions would date its return by their own last failure, and fill it too fast.
    fn out_still(&self, node: &Node, destination: u32) {
        if !matches!(self.out.borrow().get(&destination), Some(Bound::Held(_))) {
            return;
        }
        let endpoint = node.directory.borrow().endpoint_of(destination);
        let (outcome, latency, allowance) = (Outcome::ConnectionReset, 0.0, None);
        endpoint.inspect(|at| {
            node.send_event(Event::ProbeEnded {
                endpoint: *at,
                outcome,
                latency,
                rate_limit_report: allowance,
            })
        });
    }

    /// Discovery's watch has ended.
    pub fn list_failed(&self) {
        self.unlisted.set(true);
        self.tell(Fact::ListFailed);
    }

    /// A list has come.
    pub fn list_came(&self, seq: u64) {
        self.seq.set(Some(seq));
        self.unlisted.set(false);
        self.tell(Fact::List(seq));
    }

    /// A watch brought a sign of life: discovery answers, and has nothing new.
    pub fn list_alive(&self, seq: u64) {
        if self.unlisted.get() {
            self.list_came(seq);
        }
    }

    /// Whether a call may go to a destination now. A holder looks at its term here, right before the act.
    pub fn may_try(&self, destination: u32) -> bool {
        let Some(bound) = self.out.borrow().get(&destination).copied() else { return true };
        let now = clock::now();
        match now_by(bound, now, self.hold_most) {
            Now::Mine(epoch) if self.history => {
                log::info(format_args!(
                    "fleet: {:.6} acts tries/{destination} epoch {epoch}",
                    clock::of_all(now)
                ));
                true
            }
            Now::Mine(_) | Now::Free => true,
            Now::Held => false,
        }
    }

    /// Whether discovery is asked slowly now, because another member asks: how long to wait.
    pub fn slowly(&self) -> Option<Duration> {
        match self.pace.get() {
            Pace::Slow(spacing, until) if clock::now() < until => Some(Duration::from_secs_f64(spacing)),
            _ => None,
        }
    }

    /// Puts bounds that have begun or ended in force.
    pub fn look(&self, node: &Node) {
        if self.out.borrow().is_empty() && self.back.borrow().is_empty() {
            return;
        }
        let now = clock::now();
        let held = |bound: &Bound| now_by(*bound, now, self.hold_most) == Now::Held;
        let due: BTreeSet<u32> =
            self.out.borrow().iter().filter(|(_, b)| held(b)).map(|(number, _)| *number).collect();
        if *self.back.borrow() != due {
            self.hold_back(node, due)
                .into_iter()
                .for_each(|entries| node.send_event(Event::ListUpdate(entries)));
        }
    }

    /// Holds back these destinations and no others; what that changes in the list.
    fn hold_back(&self, node: &Node, due: BTreeSet<u32>) -> Vec<Vec<EndpointEntry>> {
        let before = self.back.replace(due.clone());
        let mut directory = node.directory.borrow_mut();
        let changed = before.symmetric_difference(&due);
        let entries = changed.map(|destination| directory.hold_back(*destination, due.contains(destination)));
        entries.filter(|entries| !entries.is_empty()).collect()
    }

    /// Lifts all bounds, and lets the member's record go: another process of this dispatcher goes on.
    pub fn give(&self, node: &Node) {
        if let Some(member) = self.member.take() {
            member.stop();
        }
        for entries in self.lift(node) {
            node.dispatcher.borrow_mut().handle(node.now(), Event::ListUpdate(entries));
        }
    }

    /// No bound is in force any more; what that changes in the list.
    fn lift(&self, node: &Node) -> Vec<Vec<EndpointEntry>> {
        self.out.borrow_mut().clear();
        self.pace.set(Pace::Own);
        self.hold_back(node, BTreeSet::new())
    }

    /// The other process has not taken over: the member goes on here.
    pub fn resume(&self, node: &Node) {
        self.begin(&node.config);
        let out: Vec<u32> = node.journal.borrow().outages().collect();
        out.into_iter().for_each(|destination| self.out(node, destination, true));
    }

    /// The dispatcher stops: what its member holds is given on, and it does the rest as alone.
    pub async fn leave(&self, node: &Node) {
        let member = self.member.take();
        if let Some(member) = member {
            member.leave().await;
            self.lift(node).into_iter().for_each(|entries| node.send_event(Event::ListUpdate(entries)));
        }
    }

    /// How the fleet is, as this member sees it: JSON.
    ///
    /// # Errors
    /// Where there is none, or it does not answer.
    pub async fn show(&self) -> Result<String, String> {
        let member = self.member.borrow().clone().ok_or("this dispatcher is no member of a fleet")?;
        member.show(SHOW_TIME).await.ok_or_else(|| "the member does not answer".into())
    }
}

/// Hears what parts have to say, for as long as the process runs.
pub async fn hear(node: Rc<Node>) {
    let Some(mut heard) = node.fleet.heard.take() else { return };
    while let Some(news) = heard.recv().await {
        if node.serving_state.phase() != Phase::Serving {
            continue;
        }
        let bounds = &node.fleet;
        match news {
            News::Began => {
                // It has forgotten what it was told.
                let out: Vec<u32> = bounds.out.borrow().keys().copied().collect();
                out.iter().for_each(|number| bounds.tell(Fact::Tries(Of::Out(*number))));
                bounds.seq.get().into_iter().for_each(|seq| bounds.tell(Fact::List(seq)));
            }
            News::Tries(destination, bound) => {
                if let Some(known) = bounds.out.borrow_mut().get_mut(&destination) {
                    *known = bound;
                }
                bounds.look(&node);
            }
            News::Lists(pace) => bounds.pace.set(pace),
            News::AskNow => node.resubscribe.notify_one(),
            News::Given(name, epoch, holder) => {
                let who = holder.map_or("nobody".into(), |id| format!("{id:016x}"));
                log::info(format_args!(
                    "fleet: {:.6} given {name} epoch {epoch} to {who}",
                    clock::of_all(clock::now())
                ));
            }
            News::Refused(name, epoch, now_at) => {
                log::info(format_args!(
                    "fleet: {:.6} refused {name} epoch {epoch}, {now_at} is given",
                    clock::now()
                ));
            }
            News::Told(name, epoch, word) => {
                if bounds.history {
                    log::info(format_args!("fleet: {:.6} told {name} epoch {epoch} {word:?}", clock::now()));
                }
                if let (Name::Tries(destination), Word::Out) = (name, word) {
                    bounds.out_still(&node, destination);
                }
            }
            News::Acts(name, epoch, at) if bounds.history => {
                log::info(format_args!("fleet: {:.6} acts {name} epoch {epoch}", clock::of_all(at)));
            }
            News::Acts(..) => {}
        }
    }
}

/// All rules hold; with the feature `planted`, which is for tests alone, all but the one that a variable names.
fn planted() -> fawnspoke_duty::Rules {
    #[cfg(feature = "planted")]
    if let Some(rules) =
        std::env::var("FAWNSPOKE_PLANTED").ok().and_then(|name| fawnspoke_duty::Rules::without(&name))
    {
        return rules;
    }
    fawnspoke_duty::Rules::default()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_bound_outlasts_its_time_though_nobody_lifts_it() {
        let held = |at| now_by(Bound::Held(10.0), at, 3.0);
        assert_eq!((held(9.9), held(10.0)), (Now::Held, Now::Free));
        let mine = |at| now_by(Bound::Mine(4, 10.0), at, 3.0);
        assert_eq!(
            (mine(9.9), mine(10.0), mine(12.9), mine(13.0)),
            (Now::Mine(4), Now::Held, Now::Held, Now::Free)
        );
        assert_eq!(now_by(Bound::Free, 0.0, 3.0), Now::Free);
    }
}
