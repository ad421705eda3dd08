//! The state of the console and its key handling, independent of terminal, socket and clock.

use crate::messages;
use driftfront_control::snapshot::{Engine, Snapshot};
use driftfront_control::{Reply, Request};
use std::collections::VecDeque;

/// Limit on the kept events; beyond it the oldest are dropped.
pub const MAX_EVENTS: usize = 500;

/// A tab of the console.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tab {
    /// Engines.
    Engines,
    /// Classes and their service statistics.
    Service,
    /// Running and queued queries.
    Queries,
    /// Events.
    Events,
}

/// All tabs with their titles, in the order of their keys.
pub const TABS: [(Tab, &str); 4] = [
    (Tab::Engines, "engines"),
    (Tab::Service, "service"),
    (Tab::Queries, "queries"),
    (Tab::Events, "events"),
];

/// A key that the console handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    /// A character.
    Char(char),
    /// Arrow up.
    Up,
    /// Arrow down.
    Down,
    /// Tab.
    Tab,
    /// Enter.
    Enter,
    /// Escape.
    Escape,
}

/// The action for the caller after a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// None, apart from redrawing.
    Nothing,
    /// Send a request to the program.
    Send(Request),
    /// Close the console.
    Quit,
}

/// A confirmation dialog, for requests that are not easily undone.
#[derive(Clone, Debug, PartialEq)]
pub struct Confirmation {
    /// The question.
    pub text: String,
    /// The request to send if the user confirms.
    pub request: Request,
}

/// The state of the console.
#[derive(Debug)]
pub struct App {
    /// The last snapshot.
    pub snapshot: Option<Snapshot>,
    /// Why the program can't be reached; `None` while connected.
    pub disconnect_reason: Option<String>,
    /// The visible tab.
    pub tab: Tab,
    /// The selected row.
    pub selected_row: usize,
    /// Events with their times in Unix microseconds, latest last.
    pub events: VecDeque<(u64, String)>,
    /// The open confirmation dialog.
    pub confirmation: Option<Confirmation>,
    /// The reply to the last request, or a hint about the last key.
    pub status_message: Option<String>,
    /// Whether the help is shown.
    pub is_help_shown: bool,
}

impl Default for App {
    fn default() -> App {
        App::new()
    }
}

impl App {
    /// Creates a console without a snapshot.
    pub fn new() -> App {
        App {
            snapshot: None,
            disconnect_reason: None,
            tab: Tab::Engines,
            selected_row: 0,
            events: VecDeque::new(),
            confirmation: None,
            status_message: None,
            is_help_shown: false,
        }
    }

    /// Handles a reply of the program.
    pub fn handle_reply(&mut self, reply: Reply) {
        self.disconnect_reason = None;
        match reply {
            Reply::Snapshot(snapshot) => {
                self.snapshot = Some(*snapshot);
                self.select_row(self.selected_row);
            }
            Reply::Event(at, text) => {
                if self.events.len() == MAX_EVENTS {
                    self.events.pop_front();
                }
                self.events.push_back((at, text));
            }
            Reply::Done(text) | Reply::Refused(text) => self.status_message = Some(text),
        }
    }

    /// Handles a lost connection. An open dialog is closed, since its request could not be sent.
    pub fn handle_disconnect(&mut self, reason: &str) {
        self.disconnect_reason = Some(reason.into());
        self.confirmation = None;
    }

    /// The number of rows of the visible tab.
    pub fn row_count(&self) -> usize {
        let Some(s) = &self.snapshot else { return 0 };
        match self.tab {
            Tab::Engines => s.engines.len(),
            Tab::Service => s.classes.len(),
            Tab::Queries => s.queries.len(),
            Tab::Events => self.events.len(),
        }
    }

    /// The selected engine, if the engines tab is visible.
    fn selected_engine(&self) -> Option<&Engine> {
        self.snapshot
            .as_ref()
            .filter(|_| self.tab == Tab::Engines)?
            .engines
            .get(self.selected_row)
    }

    /// Handles a key, and returns the action for the caller.
    pub fn handle_key(&mut self, key: Key) -> Action {
        if let Some(confirmation) = self.confirmation.take() {
            return self.resolve_confirmation(confirmation, key);
        }
        if self.is_help_shown {
            self.is_help_shown = false;
            return Action::Nothing;
        }
        match key {
            Key::Char('q') | Key::Escape => return Action::Quit,
            Key::Char('?' | 'h') => self.is_help_shown = true,
            Key::Up | Key::Char('k') => self.select_row(self.selected_row.saturating_sub(1)),
            Key::Down | Key::Char('j') => self.select_row(self.selected_row + 1),
            Key::Tab => self.show_next_tab(),
            Key::Char('1') => self.show_tab(Tab::Engines),
            Key::Char('2') => self.show_tab(Tab::Service),
            Key::Char('3') => self.show_tab(Tab::Queries),
            Key::Char('4') => self.show_tab(Tab::Events),
            Key::Char('d') => self.ask_to_drain(),
            Key::Char('r') => return self.resume_selected_engine(),
            Key::Char('b') => return Action::Send(Request::EngineReturned),
            Key::Char('s') => return Action::Send(Request::RollStop),
            Key::Char('g') => return Action::Send(Request::RollResume),
            Key::Char('R') => self.ask_to_roll(),
            _ => {}
        }
        Action::Nothing
    }

    /// Selects a row, or the last one if there are fewer.
    fn select_row(&mut self, row: usize) {
        self.selected_row = row.min(self.row_count().saturating_sub(1));
    }

    fn resume_selected_engine(&self) -> Action {
        match self.selected_engine() {
            Some(engine) => Action::Send(Request::Resume(engine.name.clone())),
            None => Action::Nothing,
        }
    }

    fn ask_to_roll(&mut self) {
        self.confirmation = Some(Confirmation {
            text: "Take all engines out one after another, for repair or restart? (y/n)".into(),
            request: Request::Roll(Vec::new(), false),
        });
    }

    fn resolve_confirmation(&mut self, confirmation: Confirmation, key: Key) -> Action {
        match key {
            Key::Char('y' | 'Y') => Action::Send(confirmation.request),
            _ => {
                self.status_message = Some("Cancelled.".into());
                Action::Nothing
            }
        }
    }

    fn show_next_tab(&mut self) {
        let shown = TABS.iter().position(|(tab, _)| *tab == self.tab);
        let next = shown.map_or(0, |index| index + 1) % TABS.len();
        self.show_tab(TABS[next].0);
    }

    fn show_tab(&mut self, tab: Tab) {
        (self.tab, self.selected_row) = (tab, 0);
        if tab == Tab::Events {
            self.selected_row = self.events.len().saturating_sub(1);
        }
    }

    fn ask_to_drain(&mut self) {
        let Some(engine) = self.selected_engine().cloned() else {
            self.status_message = Some("Select an engine first: press 1, then up or down.".into());
            return;
        };
        let ready = self
            .snapshot
            .iter()
            .flat_map(|s| &s.engines)
            .filter(|e| e.phase == "ready")
            .count();
        let is_last = engine.phase == "ready" && ready == 1;
        let running = match engine.running {
            0 => "nothing runs there".into(),
            n => format!("what runs there ({n}) may end"),
        };
        let text = if is_last {
            format!("{} is the LAST engine that takes work: all requests will be refused. Drain it all the same? (y/n)", engine.name)
        } else {
            format!(
                "Drain {}? Nothing new goes there; {running}. (y/n)",
                engine.name
            )
        };
        self.confirmation = Some(Confirmation {
            text,
            request: Request::Drain {
                engine: engine.name,
                force: is_last,
            },
        });
    }

    /// The key help for the last line, shortened to fit the width.
    pub fn key_line(&self, width: usize) -> String {
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

    /// The alarms, or a message that the program can't be reached.
    pub fn alarms(&self) -> Vec<String> {
        match (&self.disconnect_reason, &self.snapshot) {
            (Some(why), _) => {
                vec![format!(
                    "The program can't be reached: {why}. Showing the last known state."
                )]
            }
            (None, Some(s)) => messages::alarms(s),
            (None, None) => vec!["Waiting for the program ...".into()],
        }
    }
}
