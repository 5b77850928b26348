//! Assembly of an output from frames that may be late, duplicated or of another request.

use crate::{boundary::backend_server, ids, mutation};

/// What to do with one frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// The frame is the next one; its text goes to the caller.
    Deliver,
    /// The frame is the next one and the last one.
    Finish,
    /// The frame is a duplicate, follows the last one or belongs to another request.
    Drop,
    /// Frames are missing before this one; the stream must be resumed at the next offset.
    Gap,
}

/// Assembly of the output of one request: each token once, in order.
///
/// ```
/// use mustardshed_core::{boundary::backend_server, request::assembly};
///
/// let mut assembly = assembly::Assembly::new("vm.1.1".to_owned());
/// let frame = backend_server::TokenFrame {
///     id: "vm.1.1".to_owned(),
///     offset: 0,
///     text: "a ".to_owned(),
///     finish: None,
///     epoch: 1,
/// };
/// assert_eq!(assembly.accept(&frame), assembly::Step::Deliver);
/// assert_eq!(assembly.accept(&frame), assembly::Step::Drop);
/// ```
#[derive(Clone, Debug)]
pub struct Assembly {
    id: ids::RequestId,
    next: ids::Tokens,
    finished: bool,
}

impl Assembly {
    /// Makes the assembly of a request that has no token delivered yet.
    pub const fn new(id: ids::RequestId) -> Self {
        Self {
            id,
            next: 0,
            finished: false,
        }
    }

    /// Returns the offset of the next token to deliver, which is the number of delivered tokens.
    pub const fn next_offset(&self) -> ids::Tokens {
        self.next
    }

    /// Returns whether the last token was delivered.
    pub const fn is_finished(&self) -> bool {
        self.finished
    }

    /// Decides what to do with a frame.
    pub fn accept(&mut self, frame: &backend_server::TokenFrame) -> Step {
        let is_foreign = frame.id != self.id && !mutation::on("crossed_accepted");
        let is_duplicate = frame.offset < self.next && !mutation::on("repeats_accepted");
        if self.finished || is_foreign || is_duplicate {
            return Step::Drop;
        }
        if frame.offset > self.next && !mutation::on("gaps_accepted") {
            return Step::Gap;
        }
        self.next += 1;
        if frame.finish.is_none() {
            return Step::Deliver;
        }
        self.finished = true;
        Step::Finish
    }
}
