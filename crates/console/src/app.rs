//! The console's state: what it shows, what keys do. No terminal, no socket, no clock.

use crate::messages;
use driftfront_control::snapshot::Snapshot;
use driftfront_control::{Reply, Request};
use std::collections::VecDeque;

/// Events held for showing.
const EVENTS_MOST: usize = 500;

/// What is shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tab {
    /// Engines.
    Engines,
    /// Classes and their service.
    Service,
    /// What runs.
    Queries,
    /// What happened.
    Events,
}

/// All tabs, in the order of their keys.
pub const TABS: [(Tab, &str); 4] = [
    (Tab::Engines, "engines"),
    (Tab::Service, "service"),
    (Tab::Queries, "queries"),
    (Tab::Events, "events"),
];

/// A key, as far as the console knows any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    /// A letter or sign.
    Char(char),
    /// Up.
    Up,
    /// Down.
    Down,
    /// To the next tab.
    Tab,
    /// Enter.
    Enter,
    /// Escape.
    Escape,
}

/// What is to be done after a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Intent {
    /// Nothing but showing.
    Nothing,
    /// Ask the program.
    Send(Request),
    /// Close the console.
    Quit,
}

/// A question before something that matters.
#[derive(Clone, Debug, PartialEq)]
pub struct Question {
    /// In words.
    pub words: String,
    /// What `y` sends.
    pub request: Request,
}

/// The console.
#[derive(Debug)]
pub struct App {
    /// What was last told.
    pub snapshot: Option<Snapshot>,
    /// Why the program can't be reached, while it can't.
    pub lost: Option<String>,
    /// The tab shown.
    pub tab: Tab,
    /// The row chosen.
    pub chosen: usize,
    /// What happened, the latest last: when, and what.
    pub events: VecDeque<(u64, String)>,
    /// The question that waits for an answer.
    pub question: Option<Question>,
    /// What was last said about a command.
    pub said: Option<String>,
    /// The help is shown.
    pub help: bool,
}

impl Default for App {
    fn default() -> App {
        App::new()
    }
}

impl App {
    /// A console that knows nothing yet.
    pub fn new() -> App {
        App {
            snapshot: None,
            lost: None,
            tab: Tab::Engines,
            chosen: 0,
            events: VecDeque::new(),
            question: None,
            said: None,
            help: false,
        }
    }

    /// The program has said something.
    pub fn reply(&mut self, reply: Reply) {
        self.lost = None;
        match reply {
            Reply::Snapshot(snapshot) => {
                self.snapshot = Some(*snapshot);
                self.chosen = self.chosen.min(self.rows().saturating_sub(1));
            }
            Reply::Event(at, words) => {
                if self.events.len() == EVENTS_MOST {
                    self.events.pop_front();
                }
                self.events.push_back((at, words));
            }
            Reply::Done(words) | Reply::Refused(words) => self.said = Some(words),
        }
    }

    /// The program can't be reached.
    pub fn gone(&mut self, why: &str) {
        self.lost = Some(why.into());
        self.question = None;
    }

    /// Rows of the tab shown.
    pub fn rows(&self) -> usize {
        let Some(s) = &self.snapshot else { return 0 };
        match self.tab {
            Tab::Engines => s.engines.len(),
            Tab::Service => s.classes.len(),
            Tab::Queries => s.queries.len(),
            Tab::Events => self.events.len(),
        }
    }

    /// The engine chosen.
    fn engine(&self) -> Option<&driftfront_control::snapshot::Engine> {
        self.snapshot
            .as_ref()
            .filter(|_| self.tab == Tab::Engines)?
            .engines
            .get(self.chosen)
    }

    /// A key was pressed.
    pub fn key(&mut self, key: Key) -> Intent {
        if let Some(question) = self.question.take() {
            return match key {
                Key::Char('y' | 'Y') => Intent::Send(question.request),
                _ => {
                    self.said = Some("Left as it was.".into());
                    Intent::Nothing
                }
            };
        }
        if self.help {
            self.help = false;
            return Intent::Nothing;
        }
        match key {
            Key::Char('q') | Key::Escape => return Intent::Quit,
            Key::Char('?' | 'h') => self.help = true,
            Key::Up | Key::Char('k') => self.chosen = self.chosen.saturating_sub(1),
            Key::Down | Key::Char('j') => {
                self.chosen = (self.chosen + 1).min(self.rows().saturating_sub(1))
            }
            Key::Tab => {
                let at = TABS.iter().position(|t| t.0 == self.tab).unwrap_or(0);
                self.show(TABS[(at + 1) % TABS.len()].0);
            }
            Key::Char(c @ '1'..='4') => self.show(TABS[c as usize - '1' as usize].0),
            Key::Char('d') => self.ask_drain(),
            Key::Char('r') => {
                if let Some(engine) = self.engine().map(|e| e.name.clone()) {
                    return Intent::Send(Request::Resume(engine));
                }
            }
            Key::Char('b') => return Intent::Send(Request::Back),
            Key::Char('s') => return Intent::Send(Request::RollStop),
            Key::Char('g') => return Intent::Send(Request::RollGoOn),
            Key::Char('R') => {
                self.question = Some(Question {
                    words: "Take all engines out one after another, for repair or restart? (y/n)"
                        .into(),
                    request: Request::Roll(Vec::new(), false),
                });
            }
            _ => {}
        }
        Intent::Nothing
    }

    fn show(&mut self, tab: Tab) {
        (self.tab, self.chosen) = (tab, 0);
        if tab == Tab::Events {
            self.chosen = self.events.len().saturating_sub(1);
        }
    }

    fn ask_drain(&mut self) {
        let Some(engine) = self.engine().cloned() else {
            self.said = Some("Choose an engine first: 1, then up and down.".into());
            return;
        };
        let ready = self
            .snapshot
            .iter()
            .flat_map(|s| &s.engines)
            .filter(|e| e.phase == "ready")
            .count();
        let last = engine.phase == "ready" && ready == 1;
        let running = match engine.running {
            0 => "nothing runs there".into(),
            n => format!("what runs there ({n}) may end"),
        };
        let words = if last {
            format!("{} is the LAST engine that takes work: all requests will be refused. Drain it all the same? (y/n)", engine.name)
        } else {
            format!(
                "Drain {}? Nothing new goes there; {running}. (y/n)",
                engine.name
            )
        };
        self.question = Some(Question {
            words,
            request: Request::Drain {
                engine: engine.name,
                force: last,
            },
        });
    }

    /// The keys that do something now, for the last line.
    pub fn keys(&self, width: usize) -> String {
        let full =
            "1-4 tab  up/down  d drain  r resume  R roll  b back  s stop  g go on  ? help  q quit";
        let short = "1-4  d drain  r resume  ? help  q quit";
        let least = "? help  q quit";
        let fits = |text: &&str| text.len() <= width;
        [full, short, least]
            .into_iter()
            .find(fits)
            .unwrap_or("")
            .to_string()
    }

    /// What needs an eye, or what was just said.
    pub fn alarms(&self) -> Vec<String> {
        match (&self.lost, &self.snapshot) {
            (Some(why), _) => {
                vec![format!(
                    "The program can't be reached: {why}. This is how things last stood."
                )]
            }
            (None, Some(s)) => messages::alarms(s),
            (None, None) => vec!["Waiting for the program ...".into()],
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use driftfront_control::snapshot::Engine;

    fn app(phases: &[&str]) -> App {
        let engine = |(n, phase): (usize, &&str)| Engine {
            name: format!("engine-{n}"),
            phase: phase.to_string(),
            ..Engine::default()
        };
        let engines = phases.iter().enumerate().map(engine).collect();
        let mut app = App::new();
        app.reply(Reply::Snapshot(Box::new(Snapshot {
            engines,
            ..Snapshot::default()
        })));
        app
    }

    #[test]
    fn a_drain_is_asked_for_and_only_y_sends_it() {
        let mut app = app(&["ready", "ready"]);
        app.key(Key::Down);
        assert_eq!(app.key(Key::Char('d')), Intent::Nothing);
        assert!(app
            .question
            .as_ref()
            .is_some_and(|q| q.words.starts_with("Drain engine-1?")));
        assert_eq!(app.key(Key::Char('x')), Intent::Nothing);
        app.key(Key::Char('d'));
        let drain = Request::Drain {
            engine: "engine-1".into(),
            force: false,
        };
        assert_eq!(app.key(Key::Char('y')), Intent::Send(drain));
    }

    #[test]
    fn the_last_ready_engine_is_drained_only_after_a_plain_warning() {
        let mut app = app(&["ready", "draining"]);
        app.key(Key::Char('d'));
        assert!(app
            .question
            .as_ref()
            .is_some_and(|q| q.words.contains("LAST engine")));
        let drain = Request::Drain {
            engine: "engine-0".into(),
            force: true,
        };
        assert_eq!(app.key(Key::Char('y')), Intent::Send(drain));
    }

    #[test]
    fn the_choice_stays_inside_the_list_and_events_are_bounded() {
        let mut app = app(&["ready", "ready", "ready"]);
        (0..9).for_each(|_| drop(app.key(Key::Down)));
        assert_eq!(app.chosen, 2);
        app.reply(Reply::Snapshot(Box::default()));
        assert_eq!(app.chosen, 0);
        (0..2000).for_each(|n| app.reply(Reply::Event(n, "x".into())));
        assert_eq!(app.events.len(), EVENTS_MOST);
        app.gone("refused");
        assert!(app.alarms()[0].contains("can't be reached"));
        assert_eq!(app.key(Key::Char('q')), Intent::Quit);
    }

    #[test]
    fn the_keys_fit_every_width() {
        let app = App::new();
        assert!((0..200).all(|width| app.keys(width).len() <= width));
        assert!(app.keys(40).contains("d drain") && app.keys(120).contains("R roll"));
    }
}
