//! The member's thread: feeds the core, syncs what it gives before anything is sent, keeps the links. Nothing is decided
//! here, and nothing in the dispatcher waits for this thread.

use crate::clock::now;
use crate::core::{Core, CoreError, founded};
use crate::file::File;
use crate::identity::Identity;
use crate::links::{Event, Link, Links};
use crate::part::Part;
use crate::said::{self, Said};
use crate::store::{self, Opened, Store, StoreError};
use crate::wire::{Hello, Me, Refusal, VERSION};
use crate::{Id, Seconds};
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
    pub file: File,
    /// The dispatcher's name.
    pub name: String,
    /// Its folder that lasts.
    pub state: PathBuf,
}

/// What the thread is told.
enum Told<F> {
    Fact(F),
    Show(oneshot::Sender<String>),
    /// Give on what is held and end.
    Leave(oneshot::Sender<()>),
    /// End at once: another process of this member goes on.
    Stop,
}

/// The thread, from outside. It ends with this.
pub struct Member<F> {
    told: UnboundedSender<Told<F>>,
}

impl<F> Clone for Member<F> {
    fn clone(&self) -> Member<F> {
        Member { told: self.told.clone() }
    }
}

impl<F> Member<F> {
    /// Tells the part something. Never waits; after the thread's end it is lost.
    pub fn tell(&self, fact: F) {
        let _ = self.told.send(Told::Fact(fact));
    }

    /// How things are, as JSON; nothing where the thread does not answer in time.
    pub async fn show(&self, patience: Duration) -> Option<String> {
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
pub fn begin<P, M>(
    settings: Settings, part: M, news: UnboundedSender<P::News>,
) -> std::io::Result<Member<P::Fact>>
where
    P: Part + 'static,
    P::Fact: Send + Clone + 'static,
    P::News: Send + 'static,
    M: Fn() -> P + Send + 'static,
{
    let (told, hears) = unbounded_channel();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("fleet".into()).stack_size(STACK).spawn(move || {
        LocalSet::new().block_on(&runtime, run(settings, part, news, hears));
    })?;
    Ok(Member { told })
}

/// Founds a fleet: this member is its first voter. A folder that has been a member is left as it is.
///
/// # Errors
/// Where it has been one, or can't be written.
pub fn found(settings: &Settings, part: &impl Part) -> Result<Identity, String> {
    let Opened { mut store, identity, records, .. } =
        Store::open(&settings.state, &settings.name, disk(&settings.file))
            .map_err(|error| error.to_string())?;
    if identity.life > 1 || !records.is_empty() {
        return Err(format!("{}: has been a member already", settings.state.join(store::FOLDER).display()));
    }
    let records = founded(&identity, part).map_err(|error| error.to_string())?;
    store.append(&records, true).map_err(|error| error.to_string())?;
    Ok(identity)
}

/// Descriptors that the member of this name takes.
pub fn descriptors(file: &File, name: &str) -> usize {
    let linked = file.member.keys().filter(|other| file.calls(name, other) || file.calls(other, name));
    DESCRIPTORS + linked.count()
}

/// Bytes that the record may take.
pub fn disk(file: &File) -> u64 {
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
    settings: Settings, part: M, news: UnboundedSender<P::News>, mut hears: UnboundedReceiver<Told<P::Fact>>,
) where
    P: Part,
    P::Fact: Clone,
    M: Fn() -> P,
{
    let (events, mut links_say) = unbounded_channel();
    let links = Links::new(Rc::new(settings.file.clone()), &settings.name, events);
    let (mut listening, mut said, mut last) = (false, Said::default(), String::new());
    let mut pause = Duration::ZERO;
    loop {
        if !deaf(&mut hears, std::mem::take(&mut pause)).await {
            return;
        }
        let opened = match Store::open(&settings.state, &settings.name, disk(&settings.file)) {
            Ok(opened) => opened,
            Err(error) => {
                let held = matches!(error, StoreError::Held(_));
                let text = error.to_string();
                if text != last {
                    let meanwhile =
                        if held { "waiting for it" } else { "this dispatcher is no member meanwhile" };
                    said::say(format_args!("fleet: {text}; {meanwhile}"));
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
                    at.inspect(|at| said::say(format_args!("fleet: members are heard at {at}")));
                }
                // The process before may have it for a moment yet.
                Err(error) => {
                    said.line(now(), format_args!("its address: {error}"));
                    pause = AGAIN;
                    continue;
                }
            }
        }
        let Opened { store, identity, records, torn } = opened;
        if torn > 0 {
            said::say(format_args!("fleet: {torn} bytes of a torn record left out"));
        }
        said::say(format_args!(
            "fleet: {} of {}, birth {:016x}, life {}",
            settings.name, settings.file.cluster, identity.birth, identity.life
        ));
        let core =
            Core::new(Arc::new(settings.file.clone()), identity, records, part(), now(), fastrand::u64(..));
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
                    said: Said::default(),
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
                said::say(format_args!("fleet: {error}; the record is opened anew"));
                pause = AGAIN_FAILED;
            }
            End::Older => {
                said::say(format_args!(
                    "fleet: the folder is an older copy of what this member was; it comes back as a new one"
                ));
                if let Err(error) = store::forget(&settings.state) {
                    said::say(format_args!("fleet: {error}"));
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
            Ok(Some(Told::Fact(_) | Told::Show(_))) => {}
            Ok(Some(Told::Leave(_) | Told::Stop) | None) => return false,
            Err(_) => return true,
        }
    }
}

/// One life of the core: from the opening of the record to its end.
struct Life<'a, P: Part> {
    settings: &'a Settings,
    core: Core<P>,
    store: Store,
    links: &'a Links,
    up: BTreeMap<Id, Link>,
    news: &'a UnboundedSender<P::News>,
    led: Option<Option<Id>>,
    said: Said,
}

impl<P: Part> Drop for Life<'_, P> {
    fn drop(&mut self) {
        self.up.values().for_each(Link::end);
    }
}

impl<P: Part> Life<'_, P> {
    async fn live(
        &mut self, hears: &mut UnboundedReceiver<Told<P::Fact>>, links_say: &mut UnboundedReceiver<Event>,
    ) -> End {
        loop {
            if let Err(error) = self.work() {
                return End::Again(error);
            }
            self.present();
            let wait = Duration::from_secs_f64((self.core.due() - now()).clamp(0.0, 1.0));
            // The time is read after what has come has come: what it says was said before.
            tokio::select! {
                biased;
                told = hears.recv() => match told {
                    Some(Told::Fact(fact)) => self.core.fact(now(), fact),
                    Some(Told::Show(answer)) => drop(answer.send(self.core.show(now()).to_string())),
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
        while let Some((records, sync)) = self.core.poll() {
            if !records.is_empty() {
                self.store.append(&records, sync).map_err(|error| format!("the record: {error}"))?;
            }
            self.core.synced(now()).map_err(|error: CoreError| error.to_string())?;
        }
        if let Some(records) =
            self.core.take_cut(self.store.wants_cut()).map_err(|error| error.to_string())?
        {
            self.store.replace(&records).map_err(|error| format!("the record: {error}"))?;
        }
        for (to, frame) in self.core.take_frames() {
            if let (Some(link), Ok(packet)) = (self.up.get(&to), fawnspoke_frames::packet(&frame)) {
                link.send(packet);
            }
        }
        for news in self.core.take_news() {
            // The dispatcher that hears it may have ended.
            let _ = self.news.send(news);
        }
        let leader = self.core.leader();
        if self.led.replace(leader) != Some(leader) {
            let name = leader.and_then(|id| self.core.members().0.get(&id)).map(|member| &*member.name);
            said::say(format_args!(
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

    fn hello(&self, refused: Option<Refusal>) -> Hello {
        let Identity { name, birth, life } = self.core.identity().clone();
        let cluster = self.settings.file.cluster.clone();
        let (versions, mark) = ((VERSION, VERSION), self.core.mark());
        Hello { versions, cluster, name, to: String::new(), birth, life, mark, refused }
    }

    fn hear(&mut self, event: Event) -> Option<End> {
        match event {
            Event::Hello { hello, called, answer, link } => {
                let own = self.core.identity();
                let me = Me { cluster: &self.settings.file.cluster, name: &own.name, birth: own.birth };
                // Whoever answers a call says its own name, not whom it wants.
                let hello =
                    Box::new(Hello { to: if called { own.name.clone() } else { hello.to }, ..*hello });
                let judged = hello.judge(&me, |name| self.settings.file.member.contains_key(name));
                let judged =
                    judged.and_then(|()| self.core.link(hello.birth, &hello.name, hello.life, &hello.mark));
                if let Err(refusal) = judged {
                    let (name, birth) = (&hello.name, hello.birth);
                    self.said
                        .line(now(), format_args!("{name} ({birth:016x}) is not spoken with: {refusal}"));
                    let _ = answer.send((self.hello(Some(refusal)), false));
                    return None;
                }
                if answer.send((self.hello(None), true)).is_err() {
                    if !self.up.contains_key(&hello.birth) {
                        self.core.unlink(hello.birth);
                    }
                    return None;
                }
                if let Ok(Some(other)) = judged {
                    self.up.remove(&other).inspect(Link::end);
                    self.core.unlink(other);
                }
                self.up.insert(hello.birth, link).inspect(Link::end);
                if called {
                    self.core.called(hello.birth);
                }
            }
            Event::Frame { from, link, frame, _unheard } => {
                if self.up.get(&from).is_some_and(|up| up.number == link) {
                    self.core.hear(now(), from, frame);
                }
            }
            Event::Ended(id, number) => {
                if self.up.get(&id).is_some_and(|link| link.number == number) {
                    self.up.remove(&id);
                    self.core.unlink(id);
                }
            }
            Event::Refused { name, refused, hello } => {
                let refusal = hello.refused?;
                self.said.line(now(), format_args!("{name} does not speak with this member: {refusal}"));
                // Several say so of one birth; it is given up once.
                if refusal == Refusal::OlderCopy && refused == self.core.identity().birth {
                    return Some(End::Older);
                }
            }
        }
        None
    }

    /// Gives on duties and leadership, while there is time.
    async fn leave(&mut self, links_say: &mut UnboundedReceiver<Event>) {
        let until: Seconds = now() + GOODBYE.as_secs_f64();
        self.core.leave(now());
        let _ = self.work();
        while (self.core.leads() || !self.core.left()) && now() < until {
            if self.core.left() {
                self.core.give_leadership();
            }
            let wait = Duration::from_secs_f64((self.core.due() - now()).clamp(0.0, 0.02));
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
