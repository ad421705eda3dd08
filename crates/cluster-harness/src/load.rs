//! Clients of a rig's members, and what they got: each request must have one final answer, or a broken connection where its
//! process was killed.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Got {
    /// Its result.
    Served,
    /// Turned away, not run, or harmless to repeat.
    Refused,
    /// It failed.
    Failed,
    /// The connection ended before a whole answer.
    Nothing,
    /// Nobody listened: it was not taken.
    NotTaken,
    /// More than one answer, or what is none.
    Wrong,
}

/// One request, and what became of it.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Of which member.
    pub member: u32,
    /// The statement.
    pub statement: String,
    /// What became of it.
    pub got: Got,
    /// When it was sent, and when it was over, since the load's beginning.
    pub at: (Duration, Duration),
    /// What came, where that was wrong.
    pub bytes: String,
}

/// How clients ask.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Clients of each member.
    pub clients: u32,
    /// Requests of each client at most.
    pub most: u32,
    /// One in so many is an insert into a table of its member's own; 0 for none.
    pub inserts: u32,
    /// Time between a client's requests.
    pub pause: Duration,
}

/// Clients at work.
pub struct Load {
    threads: Vec<JoinHandle<()>>,
    over: Arc<AtomicBool>,
    asked: Arc<Mutex<Vec<Asked>>>,
    addrs: Arc<Mutex<BTreeMap<u32, SocketAddr>>>,
}

/// No answer takes longer; what does is none.
const PATIENCE: Duration = Duration::from_secs(40);

impl Load {
    /// Begins; members are found where they listen now.
    pub fn start(addrs: BTreeMap<u32, SocketAddr>, plan: &Plan) -> Load {
        let (over, asked) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(Mutex::new(Vec::new())),
        );
        let members: Vec<u32> = addrs.keys().copied().collect();
        let addrs = Arc::new(Mutex::new(addrs));
        let (begun, number) = (Instant::now(), Arc::new(AtomicU64::new(0)));
        let mut threads = Vec::new();
        for &member in &members {
            for _ in 0..plan.clients {
                let (over, asked, addrs) = (over.clone(), asked.clone(), addrs.clone());
                let (plan, number) = (plan.clone(), number.clone());
                threads.push(std::thread::spawn(move || {
                    for turn in 0..plan.most {
                        if over.load(Ordering::Relaxed) {
                            return;
                        }
                        let n = number.fetch_add(1, Ordering::Relaxed);
                        let statement = match plan.inserts > 0 && turn % plan.inserts == 0 {
                            true => format!("INSERT INTO t{member} VALUES ({n})"),
                            false => format!("SELECT {n}"),
                        };
                        let addr = addrs.lock().ok().and_then(|a| a.get(&member).copied());
                        let at = begun.elapsed();
                        let (got, bytes) =
                            addr.map_or((Got::NotTaken, String::new()), |a| ask(a, &statement));
                        if let Ok(mut all) = asked.lock() {
                            all.push(Asked {
                                member,
                                statement,
                                got,
                                at: (at, begun.elapsed()),
                                bytes,
                            });
                        }
                        std::thread::sleep(plan.pause);
                    }
                }));
            }
        }
        Load {
            threads,
            over,
            asked,
            addrs,
        }
    }

    /// A member's clients connect here from now on.
    pub fn moved(&self, member: u32, addr: SocketAddr) {
        if let Ok(mut addrs) = self.addrs.lock() {
            addrs.insert(member, addr);
        }
    }

    /// Requests that are over.
    pub fn done(&self) -> usize {
        self.asked.lock().map_or(0, |a| a.len())
    }

    /// Waits until all clients have got what they asked for; all of it.
    pub fn end(self) -> Vec<Asked> {
        self.over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.asked.lock().map(|a| a.clone()).unwrap_or_default()
    }
}

/// How many got what.
pub fn counts(all: &[Asked]) -> BTreeMap<Got, usize> {
    all.iter().fold(BTreeMap::new(), |mut sum, a| {
        *sum.entry(a.got).or_insert(0) += 1;
        sum
    })
}

fn ask(addr: SocketAddr, statement: &str) -> (Got, String) {
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, PATIENCE) else {
        return (Got::NotTaken, String::new());
    };
    let _ = stream.set_read_timeout(Some(PATIENCE));
    let head = format!(
        "POST / HTTP/1.1\r\nHost: t\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        statement.len()
    );
    if stream
        .write_all(format!("{head}{statement}").as_bytes())
        .is_err()
    {
        return (Got::Nothing, String::new());
    }
    let mut bytes = Vec::new();
    let whole = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    (judge(&text, whole.is_ok()), text)
}

/// What an answer is: exactly one, whole.
fn judge(text: &str, closed: bool) -> Got {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return Got::Nothing;
    };
    if body.contains("HTTP/1.1 ") {
        return Got::Wrong;
    }
    let length = head.lines().find_map(|l| {
        let (name, value) = l.split_once(':')?;
        name.eq_ignore_ascii_case("content-length")
            .then(|| value.trim().parse::<usize>().ok())?
    });
    let whole = length.map_or(
        body.ends_with("0\r\n\r\n") || body.is_empty() && closed,
        |l| body.len() == l,
    );
    match (
        head.split(' ').nth(1).and_then(|s| s.parse::<u16>().ok()),
        whole,
    ) {
        (_, false) => Got::Nothing,
        (Some(200), true) => Got::Served,
        (Some(429 | 503), true) => Got::Refused,
        (Some(_), true) => Got::Failed,
        (None, true) => Got::Wrong,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_answer_is_one_and_whole_or_it_is_none() {
        let ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n1\n";
        assert_eq!(judge(ok, true), Got::Served);
        assert_eq!(judge(&ok[..ok.len() - 1], true), Got::Nothing);
        assert_eq!(judge(&format!("{ok}{ok}"), true), Got::Wrong);
        let chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n1\n\r\n";
        assert_eq!(judge(chunks, true), Got::Nothing);
        assert_eq!(judge(&format!("{chunks}0\r\n\r\n"), true), Got::Served);
        assert_eq!(
            judge("HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n", true),
            Got::Refused
        );
        assert_eq!(
            judge("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", true),
            Got::Failed
        );
        assert_eq!(judge("", true), Got::Nothing);
    }
}
