//! The member's thread: feeds the core, syncs what it gives before anything is sent, keeps the links. Nothing is decided
//! here, and nothing in the dispatcher waits for this thread.

use crate::clock::now;
use crate::config::FleetConfig;
use crate::connections::{Connection, Connections, Event};
use crate::core::{Core, CoreError, bootstrap_records};
use crate::identity::Identity;
use crate::logging::{self, RateLimitedLog};
use crate::state_machine::StateMachine;
use crate::store::{self, OpenedStore, Store, StoreError};
use crate::wire::{Hello, Me, Rejection, VERSION};
use crate::{MemberId, Seconds};
use futures_util::FutureExt;
use std::collections::BTreeMap;
use std::panic::AssertUnwindSafe;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout, timeout_at};

/// The thread's stack, in bytes.
const STACK: usize = 512 << 10;
/// Before a record that can't be written or is held by another process is opened again.
const AGAIN: Duration = Duration::from_millis(20);
const AGAIN_FAILED: Duration = Duration::from_secs(1);
/// A member that stops gives its duties and leadership on within this time.
const GOODBYE: Duration = Duration::from_millis(300);
/// Descriptors of the thread: its listener, its record, its runtime, and links that come and go.
pub const DESCRIPTORS: usize = 16;

/// How a member is run.
pub struct Settings {
    /// The operators' file.
    pub config: FleetConfig,
    /// The dispatcher's name.
    pub name: String,
    /// Its folder that lasts.
    pub state_dir: PathBuf,
}

/// What the thread is told.
enum Told<F> {
    Input(F),
    Show(oneshot::Sender<String>),
    /// Give on what is held and end.
    Leave(oneshot::Sender<()>),
    /// End at once: another process of this member goes on.
    Stop,
}

/// The thread, from outside. It ends with this.
pub struct MemberHandle<F> {
    told: UnboundedSender<Told<F>>,
}

impl<F> Clone for MemberHandle<F> {
    fn clone(&self) -> MemberHandle<F> {
        MemberHandle { told: self.told.clone() }
    }
}

impl<F> MemberHandle<F> {
    /// Tells the part something. Never waits; after the thread's end it is lost.
    pub fn send(&self, fact: F) {
        let _ = self.told.send(Told::Input(fact));
    }

    /// How things are, as JSON; nothing where the thread does not answer in time.
    pub async fn status(&self, patience: Duration) -> Option<String> {
        let (answer, answered) = oneshot::channel();
        self.told.send(Told::Show(answer)).ok()?;
        timeout(patience, answered).await.ok()?.ok()
    }

    /// Gives on what this member holds, and ends it; comes back once that is done, or after 0.3 s.
    pub async fn leave(&self) {
        let (answer, answered) = oneshot::channel();
        if self.told.send(Told::Leave(answer)).is_ok() {
            let _ = timeout(GOODBYE, answered).await;
        }
    }

    /// Lets the record go, for another process of this member. Doesn't wait: that one takes it when it is free.
    pub fn stop(&self) {
        let _ = self.told.send(Told::Stop);
    }
}

/// Begins a member on a thread of its own. `part`: what stands on the log, made anew each time that the record is opened.
///
/// # Errors
/// Where no thread can be started.
pub fn spawn<P, M>(
    settings: Settings, part: M, news: UnboundedSender<P::Update>,
) -> std::io::Result<MemberHandle<P::Input>>
where
    P: StateMachine + 'static,
    P::Input: Send + Clone + 'static,
    P::Update: Send + 'static,
    M: Fn() -> P + Send + 'static,
{
    let (told, hears) = unbounded_channel();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("fleet".into()).stack_size(STACK).spawn(move || {
        LocalSet::new().block_on(&runtime, run(settings, part, news, hears));
    })?;
    Ok(MemberHandle { told })
}

/// Founds a fleet: this member is its first voter. A folder that has been a member is left as it is.
///
/// # Errors
/// Where it has been one, or can't be written.
pub fn bootstrap(settings: &Settings, part: &impl StateMachine) -> Result<Identity, String> {
    let OpenedStore { mut store, identity, records, .. } =
        Store::open(&settings.state_dir, &settings.name, max_disk_bytes(&settings.config))
            .map_err(|error| error.to_string())?;
    if identity.start_count > 1 || !records.is_empty() {
        return Err(format!(
            "{}: has been a member already",
            settings.state_dir.join(store::DIRECTORY).display()
        ));
    }
    let records = bootstrap_records(&identity, part).map_err(|error| error.to_string())?;
    store.append(&records, true).map_err(|error| error.to_string())?;
    Ok(identity)
}

/// Descriptors that the member of this name takes.
pub fn max_descriptors(file: &FleetConfig, name: &str) -> usize {
    let linked = file.member.keys().filter(|other| file.dials(name, other) || file.dials(other, name));
    DESCRIPTORS + linked.count()
}

/// Bytes that the record may take.
pub fn max_disk_bytes(file: &FleetConfig) -> u64 {
    (file.disk_mb * 1e6) as u64
}

/// Why one life of the core ended.
enum End {
    /// The member is to end.
    Stop,
    /// The record is to be opened anew.
    Again(String),
    /// Others know more of it than it does: it is to be born anew.
    Older,
}

async fn run<P, M>(
    settings: Settings, part: M, news: UnboundedSender<P::Update>,
    mut hears: UnboundedReceiver<Told<P::Input>>,
) where
    P: StateMachine,
    P::Input: Clone,
    M: Fn() -> P,
{
    let (events, mut links_say) = unbounded_channel();
    let links = Connections::new(Rc::new(settings.config.clone()), &settings.name, events);
    let (mut listening, mut said, mut last) = (false, RateLimitedLog::default(), String::new());
    let mut pause = Duration::ZERO;
    loop {
        if !deaf(&mut hears, std::mem::take(&mut pause)).await {
            return;
        }
        let opened = match Store::open(&settings.state_dir, &settings.name, max_disk_bytes(&settings.config))
        {
            Ok(opened) => opened,
            Err(error) => {
                let held = matches!(error, StoreError::Locked(_));
                let text = error.to_string();
                if text != last {
                    let meanwhile =
                        if held { "waiting for it" } else { "this dispatcher is no member meanwhile" };
                    logging::say(format_args!("fleet: {text}; {meanwhile}"));
                }
                last = text;
                pause = if held { AGAIN } else { AGAIN_FAILED };
                continue;
            }
        };
        last.clear();
        if !listening {
            match links.open().await {
                Ok(at) => {
                    listening = true;
                    at.inspect(|at| logging::say(format_args!("fleet: members are heard at {at}")));
                }
                // The process before may have it for a moment yet.
                Err(error) => {
                    said.line(now(), format_args!("its address: {error}"));
                    pause = AGAIN;
                    continue;
                }
            }
        }
        let OpenedStore { store, identity, records, torn_bytes: torn } = opened;
        if torn > 0 {
            logging::say(format_args!("fleet: {torn} bytes of a torn record left out"));
        }
        logging::say(format_args!(
            "fleet: {} of {}, birth {:016x}, life {}",
            settings.name, settings.config.cluster, identity.id, identity.start_count
        ));
        let core =
            Core::new(Arc::new(settings.config.clone()), identity, records, part(), now(), fastrand::u64(..));
        let end = match core {
            Ok(core) => {
                let mut life = Life {
                    settings: &settings,
                    core,
                    store,
                    links: &links,
                    up: BTreeMap::new(),
                    news: &news,
                    led: None,
                    said: RateLimitedLog::default(),
                };
                // The library asserts what its peers have to keep to; one that does not is no reason to end for good.
                let lived = AssertUnwindSafe(life.live(&mut hears, &mut links_say)).catch_unwind().await;
                lived.unwrap_or_else(|_| End::Again("the agreed log is not as its rules have it".into()))
            }
            Err(error) => End::Again(error.to_string()),
        };
        match end {
            End::Stop => return,
            End::Again(error) => {
                logging::say(format_args!("fleet: {error}; the record is opened anew"));
                pause = AGAIN_FAILED;
            }
            End::Older => {
                logging::say(format_args!(
                    "fleet: the folder is an older copy of what this member was; it comes back as a new one"
                ));
                if let Err(error) = store::discard_identity(&settings.state_dir) {
                    logging::say(format_args!("fleet: {error}"));
                    pause = AGAIN_FAILED;
                }
            }
        }
    }
}

/// Waits while this process is no member: facts are told anew once it is, questions get no answer. False where it is to
/// end: another process of this member goes on, or the dispatcher stops.
async fn deaf<F>(hears: &mut UnboundedReceiver<Told<F>>, pause: Duration) -> bool {
    let until = tokio::time::Instant::now() + pause;
    loop {
        // What waits is heard before the record is tried for, however short the pause.
        match timeout_at(until, hears.recv()).await {
            Ok(Some(Told::Input(_) | Told::Show(_))) => {}
            Ok(Some(Told::Leave(_) | Told::Stop) | None) => return false,
            Err(_) => return true,
        }
    }
}

/// One life of the core: from the opening of the record to its end.
struct Life<'a, P: StateMachine> {
    settings: &'a Settings,
    core: Core<P>,
    store: Store,
    links: &'a Connections,
    up: BTreeMap<MemberId, Connection>,
    news: &'a UnboundedSender<P::Update>,
    led: Option<Option<MemberId>>,
    said: RateLimitedLog,
}

impl<P: StateMachine> Drop for Life<'_, P> {
    fn drop(&mut self) {
        self.up.values().for_each(Connection::end);
    }
}

impl<P: StateMachine> Life<'_, P> {
    async fn live(
        &mut self, hears: &mut UnboundedReceiver<Told<P::Input>>, links_say: &mut UnboundedReceiver<Event>,
    ) -> End {
        loop {
            if let Err(error) = self.work() {
                return End::Again(error);
            }
            self.present();
            let wait = Duration::from_secs_f64((self.core.next_tick_at() - now()).clamp(0.0, 1.0));
            // The time is read after what has come has come: what it says was said before.
            tokio::select! {
                biased;
                told = hears.recv() => match told {
                    Some(Told::Input(fact)) => self.core.handle_input(now(), fact),
                    Some(Told::Show(answer)) => drop(answer.send(self.core.status(now()).to_string())),
                    Some(Told::Leave(answer)) => {
                        self.leave(links_say).await;
                        let _ = answer.send(());
                        return End::Stop;
                    }
                    Some(Told::Stop) | None => return End::Stop,
                },
                Some(event) = links_say.recv() => {
                    if let Some(end) = self.hear(event) {
                        return end;
                    }
                }
                () = sleep(wait) => self.core.tick(now()),
            }
        }
    }

    /// Syncs, applies and sends until nothing is left to do.
    fn work(&mut self) -> Result<(), String> {
        while let Some((records, sync)) = self.core.take_records() {
            if !records.is_empty() {
                self.store.append(&records, sync).map_err(|error| format!("the record: {error}"))?;
            }
            self.core.records_persisted(now()).map_err(|error: CoreError| error.to_string())?;
        }
        if let Some(records) =
            self.core.compact(self.store.needs_compaction()).map_err(|error| error.to_string())?
        {
            self.store.replace(&records).map_err(|error| format!("the record: {error}"))?;
        }
        for (to, frame) in self.core.take_frames() {
            if let (Some(link), Ok(packet)) = (self.up.get(&to), fawnspoke_frames::encode(&frame)) {
                link.send(packet);
            }
        }
        for news in self.core.take_updates() {
            // The dispatcher that hears it may have ended.
            let _ = self.news.send(news);
        }
        let leader = self.core.leader();
        if self.led.replace(leader) != Some(leader) {
            let name = leader.and_then(|id| self.core.members().0.get(&id)).map(|member| &*member.name);
            logging::say(format_args!(
                "fleet: {:.6} term {}: {} leads",
                now(),
                self.core.term(),
                name.unwrap_or("nobody known")
            ));
        }
        Ok(())
    }

    /// What this member says of itself at the next call.
    fn present(&self) {
        self.links.present(self.hello(None));
    }

    fn hello(&self, refused: Option<Rejection>) -> Hello {
        let Identity { name, id: birth, start_count: life } = self.core.identity().clone();
        let cluster = self.settings.config.cluster.clone();
        let (versions, mark) = ((VERSION, VERSION), self.core.log_position());
        Hello {
            versions,
            cluster,
            name,
            to: String::new(),
            id: birth,
            start_count: life,
            position: mark,
            rejection: refused,
        }
    }

    fn hear(&mut self, event: Event) -> Option<End> {
        match event {
            Event::Hello { hello, called, answer, link } => {
                let own = self.core.identity();
                let me = Me { cluster: &self.settings.config.cluster, name: &own.name, id: own.id };
                // Whoever answers a call says its own name, not whom it wants.
                let hello =
                    Box::new(Hello { to: if called { own.name.clone() } else { hello.to }, ..*hello });
                let judged = hello.judge(&me, |name| self.settings.config.member.contains_key(name));
                let judged = judged.and_then(|()| {
                    self.core.peer_connected(hello.id, &hello.name, hello.start_count, &hello.position)
                });
                if let Err(refusal) = judged {
                    let (name, birth) = (&hello.name, hello.id);
                    self.said
                        .line(now(), format_args!("{name} ({birth:016x}) is not spoken with: {refusal}"));
                    let _ = answer.send((self.hello(Some(refusal)), false));
                    return None;
                }
                if answer.send((self.hello(None), true)).is_err() {
                    if !self.up.contains_key(&hello.id) {
                        self.core.peer_disconnected(hello.id);
                    }
                    return None;
                }
                if let Ok(Some(other)) = judged {
                    self.up.remove(&other).inspect(Connection::end);
                    self.core.peer_disconnected(other);
                }
                self.up.insert(hello.id, link).inspect(Connection::end);
                if called {
                    self.core.peer_accepted(hello.id);
                }
            }
            Event::Frame { from, link, frame, _unheard } => {
                if self.up.get(&from).is_some_and(|up| up.number == link) {
                    self.core.receive_frame(now(), from, frame);
                }
            }
            Event::Ended(id, number) => {
                if self.up.get(&id).is_some_and(|link| link.number == number) {
                    self.up.remove(&id);
                    self.core.peer_disconnected(id);
                }
            }
            Event::Refused { name, refused, hello } => {
                let refusal = hello.rejection?;
                self.said.line(now(), format_args!("{name} does not speak with this member: {refusal}"));
                // Several say so of one birth; it is given up once.
                if refusal == Rejection::OlderCopy && refused == self.core.identity().id {
                    return Some(End::Older);
                }
            }
        }
        None
    }

    /// Gives on duties and leadership, while there is time.
    async fn leave(&mut self, links_say: &mut UnboundedReceiver<Event>) {
        let until: Seconds = now() + GOODBYE.as_secs_f64();
        self.core.release_all(now());
        let _ = self.work();
        while (self.core.is_leader() || !self.core.has_released_all()) && now() < until {
            if self.core.has_released_all() {
                self.core.transfer_leadership();
            }
            let wait = Duration::from_secs_f64((self.core.next_tick_at() - now()).clamp(0.0, 0.02));
            tokio::select! {
                Some(event) = links_say.recv() => drop(self.hear(event)),
                () = sleep(wait) => self.core.tick(now()),
            }
            if self.work().is_err() {
                return;
            }
        }
        // What was written to links goes out.
        sleep(Duration::from_millis(5)).await;
    }
}
