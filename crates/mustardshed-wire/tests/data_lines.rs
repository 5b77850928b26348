//! Extraction of data lines from event streams.

use googletest::prelude::*;
use mustardshed_wire::data_lines;
use proptest::prelude::*;

/// Feeds a stream in chunks of `size` bytes and returns the values of its data lines.
fn split(stream: &[u8], size: usize) -> Vec<Vec<u8>> {
    let mut lines = data_lines::DataLines::default();
    let mut values = Vec::new();
    for chunk in stream.chunks(size) {
        lines.push(chunk);
        while let Ok(Some(value)) = lines.take() {
            values.push(value.to_vec());
        }
    }
    values
}

#[test]
fn other_fields_comments_and_line_ends_are_skipped() {
    let stream = b": note\r\nevent: token\r\ndata: one\r\n\r\ndata:two\n\ndata: cut o";

    let values = split(stream, stream.len());

    assert_that!(values, eq(&[b"one".to_vec(), b"two".to_vec()]));
}

#[test]
fn a_line_of_the_longest_length_is_taken_and_a_longer_one_refused() {
    let value = "x".repeat((64 << 10) - "data: ".len());
    let mut longest = data_lines::DataLines::default();
    longest.push(format!("data: {value}\n").as_bytes());
    let mut longer = data_lines::DataLines::default();
    longer.push(format!("data: {value}x\n").as_bytes());
    let mut unterminated = data_lines::DataLines::default();
    unterminated.push(format!("data: {value}x").as_bytes());

    assert_that!(longest.take().unwrap().unwrap().len(), eq(value.len()));
    assert_that!(longer.take(), err(eq(&data_lines::LineTooLong)));
    assert_that!(unterminated.take(), err(eq(&data_lines::LineTooLong)));
}

proptest! {
    #[test]
    fn chunks_do_not_change_the_values(
        texts in prop::collection::vec("[a-z \r:]{0,12}", 0..12),
        size in 1_usize..24,
    ) {
        let stream: String = texts.iter().map(|text| format!("data: {text}\n\n")).collect();

        let values = split(stream.as_bytes(), size);

        let whole = split(stream.as_bytes(), stream.len().max(1));
        prop_assert_eq!(values.len(), texts.len());
        prop_assert_eq!(values, whole);
    }
}
