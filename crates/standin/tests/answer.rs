//! The answers of the engine stand-in are a function of prompt and position: tests compare
//! streams with them.

use iristhread_standin::expected_answer;
use iristhread_standin::expected_length;
use iristhread_standin::expected_token;
use test_case::test_case;

#[test_case("p [tokens=7]", 100, 7; "marked length")]
#[test_case("p [tokens=7]", 3, 3; "cut by the limit")]
#[test_case("p [tokens=x]", 0, 0; "nothing allowed")]
fn answer_has_expected_length(prompt: &str, max_tokens: u32, expected: usize) {
    assert_eq!(expected_answer(prompt, max_tokens).len(), expected);
}

#[test]
fn tokens_differ_by_prompt_and_position() {
    let one: Vec<String> = (0..40)
        .map(|position| expected_token("one", position))
        .collect();
    let other: Vec<String> = (0..40)
        .map(|position| expected_token("other", position))
        .collect();
    assert_ne!(one, other);
    assert_eq!(
        one,
        (0..40)
            .map(|position| expected_token("one", position))
            .collect::<Vec<_>>()
    );
}

#[test]
fn unmarked_lengths_have_a_heavy_tail() {
    let lengths: Vec<u32> = (0..2_000)
        .map(|n| expected_length(&format!("prompt {n}")))
        .collect();
    let long = lengths.iter().filter(|length| **length > 300).count();
    assert!((40..200).contains(&long), "{long}");
}
