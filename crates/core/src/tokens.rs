//! Clients' words by which engines drop repeats, and when each may have run first.
//!
//! Engines know a repeat for a while only, counted from the first attempt that may have run. A client's own retry is a
//! request of its own here, under the same word: what the earlier one left running counts against it. So each word is
//! kept with the moment of its first writing, until none of its client's tries can still come.

use crate::AttemptKey;
use fernlink::interface::{Effect, Micros, Settings};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Words remembered at once. A coordinator writes tens of keyed queries a second at most and keeps each for less than a
/// minute.
const MOST: usize = 8192;

struct First {
    /// When its first byte was written.
    at: Micros,
    /// By which attempt: if that proves never to have run, the word is fresh again.
    by: AttemptKey,
    /// No try of it comes later than this.
    keep: Micros,
}

/// Words of keyed queries that may have run.
pub(crate) struct Tokens {
    first: BTreeMap<Rc<str>, First>,
    /// In the order of their first writing; a word may stand here after it was dropped.
    order: VecDeque<(Micros, Rc<str>)>,
    /// For how long engines drop repeats, by class; `None` where the class is not keyed.
    windows: Vec<Option<Micros>>,
    most: usize,
    /// Words dropped early, since there were too many.
    pub dropped: u64,
}

impl Tokens {
    pub fn new(settings: &Settings) -> Tokens {
        let window = |c: &fernlink::interface::Class| (c.effect == Effect::Keyed).then_some(c.repeat_window);
        Tokens {
            first: BTreeMap::new(),
            order: VecDeque::new(),
            windows: settings.classes.iter().map(window).collect(),
            most: MOST,
            dropped: 0,
        }
    }

    fn window(&self, class: u16) -> Option<Micros> {
        self.windows.get(usize::from(class)).copied().flatten()
    }

    /// Whether what runs under a word of this class can be told from its repeats.
    pub fn is_keyed(&self, class: u16) -> bool {
        self.window(class).is_some()
    }

    /// Until when a query of this class may go under this word; `None`: for as long as it likes, as it never ran.
    pub fn good_until(&self, class: u16, token: Option<&Rc<str>>) -> Option<Micros> {
        let window = self.window(class)?;
        Some(self.first.get(token?)?.at.saturating_add(window))
    }

    /// A request under this word was taken that may be tried until then.
    pub fn taken(&mut self, class: u16, token: Option<&Rc<str>>, deadline: Micros) {
        let Some(window) = self.window(class) else { return };
        if let Some(first) = token.and_then(|t| self.first.get_mut(t)) {
            first.keep = first.keep.max(deadline.saturating_add(window));
        }
    }

    /// An attempt under this word goes out: from here on it may run.
    pub fn written(&mut self, now: Micros, class: u16, token: &Rc<str>, by: AttemptKey, deadline: Micros) {
        let Some(window) = self.window(class) else { return };
        if self.first.contains_key(token) {
            return;
        }
        self.forget(now);
        if self.first.len() >= self.most {
            // Behind one that is kept for long others may be over.
            self.first.retain(|_, f| f.keep > now);
            self.order.retain(|(at, token)| self.first.get(token).is_some_and(|f| f.at == *at));
        }
        if self.first.len() >= self.most {
            // The oldest is the likeliest to be over.
            while let Some((at, oldest)) = self.order.pop_front() {
                if self.first.get(&oldest).is_some_and(|f| f.at == at) {
                    self.first.remove(&oldest);
                    self.dropped += 1;
                    break;
                }
            }
        }
        let first = First { at: now, by, keep: deadline.saturating_add(window) };
        self.first.insert(token.clone(), first);
        self.order.push_back((now, token.clone()));
    }

    /// An attempt proved never to have run.
    pub fn never_ran(&mut self, token: &Rc<str>, by: AttemptKey) {
        if self.first.get(token).is_some_and(|f| f.by == by) {
            self.first.remove(token);
        }
    }

    /// Words that no try comes under any more.
    fn forget(&mut self, now: Micros) {
        while let Some((at, token)) = self.order.front() {
            let keep = self.first.get(token).filter(|f| f.at == *at).map(|f| f.keep);
            if keep.is_some_and(|keep| keep > now) {
                return;
            }
            if keep.is_some() {
                self.first.remove(token);
            }
            self.order.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::RequestId;

    const S: Micros = 1_000_000;

    fn key(request: u64) -> AttemptKey {
        AttemptKey { request: RequestId(request), number: 0 }
    }

    fn tokens(most: usize) -> Tokens {
        let windows = vec![None, Some(12 * S)];
        Tokens { first: BTreeMap::new(), order: VecDeque::new(), windows, most, dropped: 0 }
    }

    #[test]
    fn a_word_holds_from_its_first_writing_and_is_fresh_again_if_that_never_ran() {
        let mut all = tokens(8);
        let word: Rc<str> = "w".into();
        assert_eq!(all.good_until(1, Some(&word)), None);
        all.written(S, 1, &word, key(1), 20 * S);
        all.written(5 * S, 1, &word, key(2), 25 * S);
        assert_eq!(all.good_until(1, Some(&word)), Some(13 * S));
        // Another's proof says nothing of the first; nor does the word in a class that is not keyed.
        all.never_ran(&word, key(2));
        assert_eq!(all.good_until(1, Some(&word)), Some(13 * S));
        assert_eq!(all.good_until(0, Some(&word)), None);
        all.never_ran(&word, key(1));
        assert_eq!(all.good_until(1, Some(&word)), None);
    }

    #[test]
    fn words_are_kept_while_a_try_may_come_and_no_longer_and_never_too_many() {
        let mut all = tokens(2);
        let words: Vec<Rc<str>> = ["a", "b", "c", "d"].map(Rc::from).into();
        all.written(S, 1, &words[0], key(1), 10 * S);
        all.written(2 * S, 1, &words[1], key(2), 10 * S);
        all.written(3 * S, 1, &words[2], key(3), 10 * S);
        assert_eq!((all.first.len(), all.order.len(), all.dropped), (2, 2, 1));
        assert_eq!(all.good_until(1, Some(&words[0])), None);
        // A later try keeps its word for longer.
        all.taken(1, Some(&words[1]), 60 * S);
        all.written(50 * S, 1, &words[3], key(4), 55 * S);
        assert!(all.good_until(1, Some(&words[1])).is_some());
        all.written(90 * S, 1, &words[0], key(5), 95 * S);
        assert!(all.good_until(1, Some(&words[1])).is_none() && all.first.len() <= 2);
    }
}
