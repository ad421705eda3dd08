//! The console on a real terminal. A thread reads the program's words, the main one keys; neither holds up the other.

use crate::app::{App, Intent, Key};
use crate::remote::{Endpoint, Remote};
use crate::screen::{draw, Look};
use driftfront_control::{Reply, Request};
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEventKind, KeyModifiers};
use ratatui::crossterm::terminal::{
    disable_raw_mode, enable_raw_mode, EnterAlternateScreen, LeaveAlternateScreen,
};
use ratatui::crossterm::{cursor, execute};
use ratatui::{backend::CrosstermBackend, Terminal};
use std::io::{self, Write};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How often the program is asked for everything, in milliseconds.
const FOLLOW_MS: u64 = 500;
/// How long keys are waited for before the screen is looked at again.
const LOOK: Duration = Duration::from_millis(50);
/// After the program was lost it is looked for again this often.
const AGAIN: Duration = Duration::from_millis(500);

enum Heard {
    Reply(Reply),
    Lost(String),
}

type Writer = Arc<Mutex<Option<Box<dyn Write + Send>>>>;

/// Keeps a connection up, and passes on what it brings.
fn listen(at: Endpoint, heard: Sender<Heard>, writer: Writer) {
    loop {
        let lost = follow(&at, &heard, &writer)
            .err()
            .map_or("it has ended".to_string(), |e| e.to_string());
        if let Ok(mut held) = writer.lock() {
            *held = None;
        }
        if heard.send(Heard::Lost(lost)).is_err() {
            return;
        }
        std::thread::sleep(AGAIN);
    }
}

fn follow(at: &Endpoint, heard: &Sender<Heard>, writer: &Writer) -> io::Result<()> {
    let mut remote = Remote::connect(at)?;
    remote.send(&Request::Events(true))?;
    remote.send(&Request::Follow(FOLLOW_MS))?;
    remote.wait_for_ever()?;
    if let Ok(mut held) = writer.lock() {
        *held = Some(Box::new(remote.writer()?));
    }
    loop {
        let (_, reply) = remote.next_reply()?;
        if heard.send(Heard::Reply(reply)).is_err() {
            return Ok(());
        }
    }
}

fn key(event: &Event) -> Option<Key> {
    let Event::Key(key) = event else { return None };
    if key.kind == KeyEventKind::Release {
        return None;
    }
    if key.modifiers.contains(KeyModifiers::CONTROL) && key.code == KeyCode::Char('c') {
        return Some(Key::Char('q'));
    }
    match key.code {
        KeyCode::Char(c) => Some(Key::Char(c)),
        KeyCode::Up => Some(Key::Up),
        KeyCode::Down => Some(Key::Down),
        KeyCode::Tab => Some(Key::Tab),
        KeyCode::Enter => Some(Key::Enter),
        KeyCode::Esc => Some(Key::Escape),
        _ => None,
    }
}

/// Runs until `q`, or until the terminal is gone.
pub fn run(at: Endpoint, color: bool) -> io::Result<()> {
    let (sender, heard) = channel();
    let writer: Writer = Arc::default();
    let listening = writer.clone();
    std::thread::spawn(move || listen(at, sender, listening));
    enable_raw_mode()?;
    let mut out = io::stdout();
    execute!(out, EnterAlternateScreen, cursor::Hide)?;
    let shown = show(&heard, &writer, Look { color });
    // Whatever happened, the terminal is left as it was found.
    let _ = execute!(io::stdout(), LeaveAlternateScreen, cursor::Show);
    let _ = disable_raw_mode();
    shown
}

fn show(heard: &Receiver<Heard>, writer: &Writer, look: Look) -> io::Result<()> {
    let mut terminal = Terminal::new(CrosstermBackend::new(io::stdout()))?;
    let mut app = App::new();
    let mut changed = true;
    loop {
        while let Ok(heard) = heard.try_recv() {
            changed = true;
            match heard {
                Heard::Reply(reply) => app.reply(reply),
                Heard::Lost(why) => app.gone(&why),
            }
        }
        if changed {
            // Only what differs is written: a slow line carries little.
            terminal.draw(|frame| draw(&app, look, frame.area(), frame.buffer_mut()))?;
            changed = false;
        }
        if !event::poll(LOOK)? {
            continue;
        }
        let event = event::read()?;
        changed = true;
        let Some(key) = key(&event) else { continue };
        match app.key(key) {
            Intent::Nothing => {}
            Intent::Quit => return Ok(()),
            Intent::Send(request) => {
                let mut held = writer
                    .lock()
                    .map_err(|_| io::Error::other("a thread has failed"))?;
                let sent = held
                    .as_mut()
                    .map(|w| w.write_all(request.line(1000).as_bytes()));
                if !matches!(sent, Some(Ok(()))) {
                    app.said = Some("The program can't be reached: nothing was done.".into());
                }
            }
        }
    }
}

/// How wide the terminal is, if there is one.
pub fn terminal_width() -> Option<usize> {
    ratatui::crossterm::terminal::size()
        .ok()
        .map(|(width, _)| usize::from(width))
        .filter(|&w| w > 0)
}
