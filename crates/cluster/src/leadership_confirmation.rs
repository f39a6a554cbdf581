//! Members' questions whether this leader leads, put to a majority together: one question to a majority at a time, however
//! many members ask.

use crate::config::MAX_MEMBERS;
use crate::{MemberId, Seconds};

/// A question to a majority that was not answered for so many beats is asked anew.
const BATCH_BEATS: f64 = 4.0;
/// Questions that wait for an answer.
const QUESTIONS_MOST: usize = 4 * MAX_MEMBERS;

/// What a majority is being asked.
#[derive(Debug)]
struct Batch {
    number: u64,
    questions: Vec<(MemberId, u64)>,
    at: Seconds,
}

/// The questions of one leadership.
#[derive(Debug, Default)]
pub struct Confirmations {
    waiting: Vec<(MemberId, u64)>,
    batch: Option<Batch>,
    batches: u64,
}

impl Confirmations {
    /// A member has asked. One too many is as good as lost: it asks again.
    pub fn ask(&mut self, from: MemberId, question: u64) {
        if self.waiting.len() < QUESTIONS_MOST {
            self.waiting.push((from, question));
        }
    }

    /// What a majority is to be asked now, as the context of the library's read; nothing where nobody waits, or one is under
    /// way that may be answered yet.
    pub fn next(&mut self, now: Seconds, beat: Seconds) -> Option<Vec<u8>> {
        if self.batch.as_ref().is_some_and(|batch| now - batch.at < BATCH_BEATS * beat) {
            return None;
        }
        // One that was not answered is gone: whoever asked asks again.
        self.batch = None;
        if self.waiting.is_empty() {
            return None;
        }
        self.batches += 1;
        let questions = std::mem::take(&mut self.waiting);
        self.batch = Some(Batch { number: self.batches, questions, at: now });
        Some(self.batches.to_be_bytes().to_vec())
    }

    /// A majority has answered: who asked what.
    pub fn answered(&mut self, context: &[u8]) -> Vec<(MemberId, u64)> {
        let batch = self.batch.take_if(|batch| batch.number.to_be_bytes() == context);
        batch.map_or(Vec::new(), |batch| batch.questions)
    }

    /// This leadership has ended, or another has begun. A late answer to what was asked under it is none.
    pub fn forget(&mut self) {
        (self.waiting, self.batch) = (Vec::new(), None);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_question_to_a_majority_is_under_way_at_a_time() {
        let mut asked = Confirmations::default();
        assert_eq!(asked.next(0.0, 0.1), None);
        asked.ask(1, 10);
        asked.ask(2, 20);
        let first = asked.next(0.0, 0.1).unwrap();
        asked.ask(3, 30);
        assert_eq!(asked.next(0.3, 0.1), None);
        assert_eq!(asked.answered(&first), [(1, 10), (2, 20)]);
        assert_eq!(asked.answered(&first), []);
        let second = asked.next(0.3, 0.1).unwrap();
        // It was not answered: the next one takes its place, and its late answer is none.
        asked.ask(4, 40);
        let third = asked.next(0.8, 0.1).unwrap();
        assert_eq!(asked.answered(&second), []);
        assert_eq!(asked.answered(&third), [(4, 40)]);
        asked.ask(5, 50);
        let fourth = asked.next(1.0, 0.1).unwrap();
        asked.forget();
        assert_eq!(asked.answered(&fourth), []);
    }
}
