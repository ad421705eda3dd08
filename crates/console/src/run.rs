//! The console on a real terminal. One thread reads the program's replies, the main one keys; neither holds up the other.

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

/// Time between two snapshots of the program.
const FOLLOW_MILLIS: u64 = 500;
/// Longest wait for a key before replies are looked at again.
const KEY_TIMEOUT: Duration = Duration::from_millis(50);
/// Pause before the program is connected to again.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);
/// The id of requests by keys: their replies are shown whatever their id is.
const KEY_REQUEST_ID: u64 = 1000;

/// What the reading thread passes on.
enum Message {
    Reply(Reply),
    Disconnected(String),
}

/// The writing end of the connection, while there is one.
type Writer = Arc<Mutex<Option<Box<dyn Write + Send>>>>;

/// Keeps a connection up, and passes on what comes; ends with the receiver.
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

/// The console's key for a terminal's event, if it knows one.
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
///
/// # Errors
///
/// The terminal's errors. It is left as it was found.
pub fn run(at: Endpoint, color: bool) -> io::Result<()> {
    let (sender, messages) = channel();
    let writer: Writer = Arc::default();
    let thread_writer = writer.clone();
    std::thread::spawn(move || keep_connected(&at, &sender, &thread_writer));
    enable_raw_mode()?;
    execute!(io::stdout(), EnterAlternateScreen, cursor::Hide)?;
    let result = show(&messages, &writer, Theme { color });
    // Whatever happened, the terminal is left as it was found.
    let _ = execute!(io::stdout(), LeaveAlternateScreen, cursor::Show);
    let _ = disable_raw_mode();
    result
}

fn show(messages: &Receiver<Message>, writer: &Writer, theme: Theme) -> io::Result<()> {
    let mut terminal = Terminal::new(CrosstermBackend::new(io::stdout()))?;
    let mut app = App::new();
    let mut is_changed = true;
    loop {
        is_changed |= handle_messages(&mut app, messages);
        if is_changed {
            // Only what differs is written: a slow line carries little.
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

/// Handles all that has come; true if anything has.
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

/// Sends a request; false where the program can't be reached.
fn send(writer: &Writer, request: &Request) -> io::Result<bool> {
    let mut writer = writer
        .lock()
        .map_err(|_| io::Error::other("a thread has failed"))?;
    let line = request.line(KEY_REQUEST_ID);
    let sent = writer.as_mut().map(|w| w.write_all(line.as_bytes()));
    Ok(matches!(sent, Some(Ok(()))))
}

/// The terminal's width in characters, if there is one.
pub fn terminal_width() -> Option<usize> {
    ratatui::crossterm::terminal::size()
        .ok()
        .map(|(width, _)| usize::from(width))
        .filter(|&w| w > 0)
}
