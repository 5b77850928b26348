//! The size of frames between peers, as it is counted.

use googletest::prelude::*;
use mustardshedd::process::handshake;
use tokio_tungstenite::tungstenite::protocol::frame::{Frame, coding};

#[gtest]
fn counted_size_is_that_of_a_masked_frame() -> Result<()> {
    for payload in [0, 1, 125, 126, 65_535, 65_536, 1_000_000] {
        let opcode = coding::OpCode::Data(coding::Data::Binary);
        let mut frame = Frame::message(vec![0; payload], opcode, true);
        frame.header_mut().mask = Some([1; 4]);

        let counted = handshake::frame_bytes(payload);

        verify_that!(counted, eq(frame.len()))?;
    }
    Ok(())
}
