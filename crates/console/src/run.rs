//! Runs the console on a terminal. One thread reads replies of the program and the main thread reads keys, so that neither
//! blocks the other.

use crate::app::{Action, App, Key};
use crate::remote::{Endpoint, Remote};
use crate::screen::{draw, Theme};
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

/// Interval between two snapshots.
const FOLLOW_MILLIS: u64 = 500;
/// Maximum wait for a key before replies are processed.
const KEY_TIMEOUT: Duration = Duration::from_millis(50);
/// Delay before reconnecting.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);
/// The id of all requests sent on keys. Their replies are shown without being matched by id.
const KEY_REQUEST_ID: u64 = 1000;

/// A message from the reader thread.
enum Message {
    Reply(Reply),
    Disconnected(String),
}

/// The write handle of the connection, while connected.
type Writer = Arc<Mutex<Option<Box<dyn Write + Send>>>>;

/// Connects again and again, and forwards replies until the receiver is dropped.
fn keep_connected(at: &Endpoint, messages: &Sender<Message>, writer: &Writer) {
    loop {
        let reason = match follow(at, messages, writer) {
            Ok(()) => "it has ended".to_string(),
            Err(e) => e.to_string(),
        };
        if let Ok(mut writer) = writer.lock() {
            *writer = None;
        }
        if messages.send(Message::Disconnected(reason)).is_err() {
            return;
        }
        std::thread::sleep(RECONNECT_DELAY);
    }
}

fn follow(at: &Endpoint, messages: &Sender<Message>, writer: &Writer) -> io::Result<()> {
    let mut remote = Remote::connect(at)?;
    remote.send(&Request::Events(true))?;
    remote.send(&Request::Follow(FOLLOW_MILLIS))?;
    remote.disable_timeout()?;
    if let Ok(mut writer) = writer.lock() {
        *writer = Some(Box::new(remote.writer()?));
    }
    loop {
        let (_, reply) = remote.next_reply()?;
        if messages.send(Message::Reply(reply)).is_err() {
            return Ok(());
        }
    }
}

/// Maps a terminal event to a key of the console.
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

/// Runs until the user quits or the terminal is closed.
///
/// # Errors
///
/// The terminal's errors. The terminal is restored in any case.
pub fn run(at: Endpoint, color: bool) -> io::Result<()> {
    let (sender, messages) = channel();
    let writer: Writer = Arc::default();
    let thread_writer = writer.clone();
    std::thread::spawn(move || keep_connected(&at, &sender, &thread_writer));
    enable_raw_mode()?;
    execute!(io::stdout(), EnterAlternateScreen, cursor::Hide)?;
    let result = event_loop(&messages, &writer, Theme { color });
    // Restore the terminal even after an error.
    let _ = execute!(io::stdout(), LeaveAlternateScreen, cursor::Show);
    let _ = disable_raw_mode();
    result
}

fn event_loop(messages: &Receiver<Message>, writer: &Writer, theme: Theme) -> io::Result<()> {
    let mut terminal = Terminal::new(CrosstermBackend::new(io::stdout()))?;
    let mut app = App::new();
    let mut is_changed = true;
    loop {
        is_changed |= handle_messages(&mut app, messages);
        if is_changed {
            // Only cells that changed are written, which keeps the console usable over a slow connection.
            terminal.draw(|frame| draw(&app, theme, frame.area(), frame.buffer_mut()))?;
            is_changed = false;
        }
        if !event::poll(KEY_TIMEOUT)? {
            continue;
        }
        let event = event::read()?;
        is_changed = true;
        let Some(key) = key(&event) else { continue };
        match app.handle_key(key) {
            Action::Nothing => {}
            Action::Quit => return Ok(()),
            Action::Send(request) => {
                if !send(writer, &request)? {
                    app.status_message =
                        Some("The program can't be reached: nothing was done.".into());
                }
            }
        }
    }
}

/// Handles all pending messages; true if there were any.
fn handle_messages(app: &mut App, messages: &Receiver<Message>) -> bool {
    let mut is_changed = false;
    while let Ok(message) = messages.try_recv() {
        is_changed = true;
        match message {
            Message::Reply(reply) => app.handle_reply(reply),
            Message::Disconnected(reason) => app.handle_disconnect(&reason),
        }
    }
    is_changed
}

/// Sends a request; false if the program can't be reached.
fn send(writer: &Writer, request: &Request) -> io::Result<bool> {
    let mut writer = writer
        .lock()
        .map_err(|_| io::Error::other("the reader thread panicked"))?;
    let line = request.line(KEY_REQUEST_ID);
    let sent = writer.as_mut().map(|w| w.write_all(line.as_bytes()));
    Ok(matches!(sent, Some(Ok(()))))
}

/// The width of the terminal in characters, if there is a terminal.
pub fn terminal_width() -> Option<usize> {
    ratatui::crossterm::terminal::size()
        .ok()
        .map(|(width, _)| usize::from(width))
        .filter(|&w| w > 0)
}
