//! Engines that end under requests, in virtual time: callers come back at any instance, and instances tell each
//! other over a network that delays and loses. The real quarantine of each instance runs in it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::ops::Range;
use std::time::Duration;

use bluebellstage_core::{TargetId, Time, WorkspaceId};
use bluebellstage_gateway::decide::quarantine::{
    CutRun, Ended, Fingerprint, JUDGED_AFTER, Quarantine, Word,
};
use bluebellstage_gateway::decide::rendezvous::{ShortHash, weight};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::at;

/// Runs in one attempt of a caller.
const RUNS: u32 = 2;
/// Attempts of a caller.
const ATTEMPTS: u32 = 2;
/// Time after the third end in which instances may still learn of it.
const CONTACT_MS: u64 = 3_000;
/// Pause between the rounds in which words are told again.
const ROUND_MS: u64 = 100;
/// Time until it is known that an engine ended.
const NOTICED_MS: u64 = 11;

/// What is played.
#[derive(Clone, Debug)]
pub struct Crashes {
    pub instances: usize,
    pub engines: usize,
    /// Requests a second.
    pub rate: u32,
    pub adapters: usize,
    /// Requests that end whatever begins them; they come again for as long as the play lasts.
    pub bad: usize,
    /// Different requests of the others; none: each is another one.
    pub bodies: Option<usize>,
    /// Engines that end for another reason: when, and how many together.
    pub outages: Vec<(u64, usize)>,
    /// Part of the words that is lost.
    pub loss: f64,
    /// Time until an ended engine is back, in milliseconds.
    pub down_ms: u64,
    /// How long a run takes, in milliseconds.
    pub takes_ms: Range<u64>,
    pub seconds: u64,
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Got {
    /// Engines that ended under each bad request.
    pub ended_under: Vec<usize>,
    /// Engines that each bad request reached later than [`CONTACT_MS`] after its third had ended.
    pub after_third: Vec<usize>,
    /// Others that were refused though no engine ends under them.
    pub wronged: usize,
    pub served: usize,
    /// Others that were on three ended engines or more, and of them those that were served.
    pub cut_thrice: usize,
    pub cut_thrice_served: usize,
}

#[derive(Clone, Debug)]
struct Request {
    fingerprint: Fingerprint,
    adapter: usize,
    bad: Option<usize>,
    instance: usize,
    runs: u32,
    attempts: u32,
    cuts: u32,
    tried: Vec<usize>,
    /// How long its run takes.
    takes_ms: u64,
}

#[derive(Debug)]
struct Run {
    request: Request,
    engine: usize,
    began: Option<u64>,
    sent: u64,
    suspect: bool,
}

#[derive(Debug)]
enum Event {
    Arrive(Box<Request>),
    Begin(u64),
    Finish(u64),
    End(usize),
    Back(usize),
    Noticed {
        instance: usize,
        life: u64,
        cuts: Vec<CutRun>,
        again: Vec<Request>,
    },
    Word {
        to: usize,
        word: Word,
    },
    Judge(usize, Vec<Fingerprint>),
    Round(usize),
    Outage(usize),
}

struct Play {
    cfg: Crashes,
    rng: ChaCha8Rng,
    now: u64,
    count: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    instances: Vec<Quarantine>,
    /// Life of each engine; none while it is down.
    engines: Vec<Option<u64>>,
    lives: u64,
    runs: BTreeMap<u64, Run>,
    /// When each bad request ended its third engine.
    thirds: Vec<Option<u64>>,
    got: Got,
}

fn engine_id(idx: usize) -> TargetId {
    TargetId::try_from(&*format!("e{idx}")).unwrap()
}

fn time(ms: u64) -> Time {
    at(ms)
}

impl Crashes {
    pub fn play(self) -> Got {
        let mut play = Play {
            rng: ChaCha8Rng::seed_from_u64(self.seed),
            now: 0,
            count: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            instances: (0..self.instances).map(|_| Quarantine::default()).collect(),
            engines: (0..self.engines).map(|life| Some(life as u64)).collect(),
            lives: self.engines as u64,
            runs: BTreeMap::new(),
            thirds: vec![None; self.bad],
            got: Got {
                ended_under: vec![0; self.bad],
                after_third: vec![0; self.bad],
                ..Got::default()
            },
            cfg: self,
        };
        play.prepare();
        play.run();
        play.got
    }
}

impl Play {
    fn prepare(&mut self) {
        let requests = u64::from(self.cfg.rate) * self.cfg.seconds;
        for idx in 0..requests {
            let at = self.rng.random_range(0..self.cfg.seconds * 1_000);
            let body = match self.cfg.bodies {
                Some(bodies) => format!("common {}", self.rng.random_range(0..bodies)),
                None => format!("own {idx}"),
            };
            let request = self.request(&body, None);
            self.push(at, Event::Arrive(Box::new(request)));
        }
        for bad in 0..self.cfg.bad {
            let at = self.rng.random_range(1_000..2_000);
            let request = self.request(&format!("bad {bad}"), Some(bad));
            self.push(at, Event::Arrive(Box::new(request)));
        }
        for (at, engines) in self.cfg.outages.clone() {
            self.push(at, Event::Outage(engines));
        }
        for instance in 0..self.cfg.instances {
            let at = self.rng.random_range(0..ROUND_MS);
            self.push(at, Event::Round(instance));
        }
    }

    fn request(&mut self, body: &str, bad: Option<usize>) -> Request {
        let workspace = WorkspaceId::try_from("north").unwrap();
        Request {
            fingerprint: Fingerprint::of(Some(&workspace), "/draft/1", body.as_bytes()),
            adapter: self.rng.random_range(0..self.cfg.adapters),
            bad,
            instance: self.rng.random_range(0..self.cfg.instances),
            runs: 0,
            attempts: 1,
            cuts: 0,
            tried: Vec::new(),
            takes_ms: self.rng.random_range(self.cfg.takes_ms.clone()),
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count)));
        self.events.insert(self.count, event);
    }

    fn run(&mut self) {
        let until = self.cfg.seconds * 1_000;
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > until {
                return;
            }
            self.now = at;
            let event = self.events.remove(&id).unwrap();
            self.take(event);
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.send(*request),
            Event::Begin(run) => self.begin(run),
            Event::Finish(run) => self.finish(run),
            Event::End(engine) => self.end(engine),
            Event::Back(engine) => {
                self.lives += 1;
                self.engines[engine] = Some(self.lives);
            }
            Event::Noticed {
                instance,
                life,
                cuts,
                again,
            } => self.noticed(instance, life, cuts, again),
            Event::Word { to, word } => {
                self.instances[to].take(&word, time(self.now));
            }
            Event::Judge(instance, requests) => self.judge(instance, &requests),
            Event::Round(instance) => {
                let words = self.instances[instance].tell_round(Duration::from_millis(ROUND_MS));
                self.tell(instance, &words);
                self.push(self.now + ROUND_MS, Event::Round(instance));
            }
            Event::Outage(engines) => {
                let up = (0..self.cfg.engines).filter(|idx| self.engines[*idx].is_some());
                let up = up.collect::<Vec<_>>();
                let first = self.rng.random_range(0..up.len().max(1));
                for idx in 0..engines.min(up.len()) {
                    let engine = up[(first + idx) % up.len()];
                    let at = self.now + self.rng.random_range(0..3);
                    self.push(at, Event::End(engine));
                }
            }
        }
    }

    /// Sends a request to the engine that its adapter belongs to, suspects apart from each other.
    fn send(&mut self, request: Request) {
        let quarantine = &self.instances[request.instance];
        if quarantine.refuses(request.fingerprint) {
            self.refused(request);
            return;
        }
        let suspect = quarantine.suspicion(request.fingerprint) > 0;
        let up = (0..self.cfg.engines).filter(|idx| self.engines[*idx].is_some());
        let mut up = up
            .filter(|idx| !request.tried.contains(idx))
            .collect::<Vec<_>>();
        if suspect {
            let own = self.runs.values();
            let own = own.filter(|run| run.request.instance == request.instance && run.suspect);
            let taken = own.map(|run| run.engine).collect::<Vec<_>>();
            let apart = |idx: &usize| {
                !taken.contains(idx) && quarantine.is_apart(request.fingerprint, &engine_id(*idx))
            };
            let free = up.iter().copied().filter(apart).collect::<Vec<_>>();
            if !free.is_empty() {
                up = free;
            }
        }
        let key = request.adapter as u64;
        let best = up.into_iter();
        let Some(engine) = best.max_by_key(|idx| weight(key, &format!("e{idx}"))) else {
            self.again(request);
            return;
        };
        self.count += 1;
        let run = self.count;
        let wait = self.rng.random_range(5..400);
        self.push(self.now + wait, Event::Begin(run));
        if let Some(bad) = request.bad
            && self.thirds[bad].is_some_and(|third| self.now > third + CONTACT_MS)
        {
            self.got.after_third[bad] += 1;
        }
        let run_of = Run {
            request,
            engine,
            began: None,
            sent: self.now,
            suspect,
        };
        self.runs.insert(run, run_of);
    }

    fn begin(&mut self, id: u64) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.began = Some(self.now);
        let engine = run.engine;
        let takes = run.request.takes_ms;
        if let Some(bad) = run.request.bad {
            self.got.ended_under[bad] += 1;
            if self.got.ended_under[bad] == 3 {
                self.thirds[bad] = Some(self.now);
            }
            let after = self.rng.random_range(5..70);
            self.push(self.now + after, Event::End(engine));
        } else {
            self.push(self.now + takes, Event::Finish(id));
        }
    }

    fn finish(&mut self, id: u64) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        let request = run.request;
        self.got.served += 1;
        if request.cuts >= 3 {
            self.got.cut_thrice_served += 1;
        }
        let now = time(self.now);
        let word = self.instances[request.instance].served(request.fingerprint, now);
        if let Some(word) = word {
            self.tell_anew(request.instance, vec![word]);
        }
    }

    fn end(&mut self, engine: usize) {
        let Some(life) = self.engines[engine].take() else {
            return;
        };
        self.push(self.now + self.cfg.down_ms, Event::Back(engine));
        let here = self.runs.iter().filter(|(_, run)| run.engine == engine);
        let here = here.map(|(id, _)| *id).collect::<Vec<_>>();
        let mut by_instance = BTreeMap::<usize, (Vec<CutRun>, Vec<Request>)>::new();
        for id in here {
            let run = self.runs.remove(&id).unwrap();
            let ran = self.now - run.began.unwrap_or(run.sent);
            let mut request = run.request;
            request.cuts += 1;
            if request.bad.is_none() && request.cuts == 3 {
                self.got.cut_thrice += 1;
            }
            request.tried.push(engine);
            request.runs += 1;
            let (cuts, again) = by_instance.entry(request.instance).or_default();
            cuts.push(CutRun::new(request.fingerprint, Duration::from_millis(ran)));
            again.push(request);
        }
        for (instance, (cuts, again)) in by_instance {
            let at = self.now + NOTICED_MS + self.rng.random_range(0..4);
            let event = Event::Noticed {
                instance,
                life,
                cuts,
                again,
            };
            self.push(at, event);
        }
    }

    fn noticed(&mut self, instance: usize, life: u64, cuts: Vec<CutRun>, again: Vec<Request>) {
        let ended = Ended {
            life: ShortHash::of(&format!("life {life}")),
            targets: u32::try_from(1 + self.engines.iter().flatten().count()).unwrap(),
            age_ms: u32::try_from(NOTICED_MS).unwrap(),
            cuts,
        };
        let requests = ended.cuts.iter().map(|cut| cut.request).collect();
        let words = self.instances[instance].ended(&ended, time(self.now));
        self.tell_anew(instance, words);
        let judged = self.now + u64::try_from(JUDGED_AFTER.as_millis()).unwrap();
        self.push(judged, Event::Judge(instance, requests));
        for request in again {
            if request.runs >= RUNS {
                self.again(request);
            } else if self.instances[instance].suspicion(request.fingerprint) > 1 {
                self.push(judged, Event::Arrive(Box::new(request)));
            } else {
                self.send(request);
            }
        }
    }

    fn judge(&mut self, instance: usize, requests: &[Fingerprint]) {
        let refused = self.instances[instance].judge(requests, time(self.now));
        self.tell_anew(instance, refused.into_iter().map(Word::Decided).collect());
    }

    fn refused(&mut self, request: Request) {
        if request.bad.is_none() {
            self.got.wronged += 1;
            return;
        }
        self.again(request);
    }

    /// The caller comes back, at any instance.
    fn again(&mut self, mut request: Request) {
        if request.bad.is_none() && request.attempts >= ATTEMPTS {
            return;
        }
        request.attempts += 1;
        request.runs = 0;
        request.tried.clear();
        request.instance = self.rng.random_range(0..self.cfg.instances);
        let pause = self.rng.random_range(20..500);
        self.push(self.now + pause, Event::Arrive(Box::new(request)));
    }

    fn tell_anew(&mut self, from: usize, words: Vec<Word>) {
        self.tell(from, &words);
        self.instances[from].tell_again(words);
    }

    fn tell(&mut self, from: usize, words: &[Word]) {
        for word in words {
            for to in (0..self.cfg.instances).filter(|to| *to != from) {
                if self.rng.random_bool(self.cfg.loss) {
                    continue;
                }
                let at = self.now + self.rng.random_range(2..30);
                let word = word.clone();
                self.push(at, Event::Word { to, word });
            }
        }
    }
}
