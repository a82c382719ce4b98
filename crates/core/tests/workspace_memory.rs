//! Engine memory by workspace, as shown to operators.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;

use std::time::Duration;

use iristhread_core::RunEnd;

use gateway_scene::ask;
use gateway_scene::control_with;

/// With a sum of only some requests, or one that ended requests stay in, the wrong workspace looks
/// like the cause of full engines.
#[test]
fn largest_workspaces_are_shown_with_what_they_use() {
    let mut control = control_with(&["e1", "e2"]);
    let mut place = |request: &str, workspace: Option<&str>, prompt_tokens: u32| {
        let mut ask = ask(request);
        ask.level.workspace = workspace.map(str::to_owned);
        (ask.prompt_tokens, ask.max_tokens, ask.expected_tokens) = (prompt_tokens, 0, None);
        control.place(Duration::ZERO, ask).unwrap();
    };
    place("r1", Some("small"), 100);
    place("r2", Some("large"), 300);
    place("r3", Some("large"), 400);
    place("r4", Some("middle"), 500);
    place("r5", None, 900);
    let named = |name: &str, tokens: u64| (name.to_owned(), tokens);
    let shown = control.workspace_memory(2);
    assert_eq!(shown, [named("large", 700), named("middle", 500)]);
    control.ended(Duration::ZERO, "r3", RunEnd::Answered);
    control.ended(Duration::ZERO, "r4", RunEnd::Answered);
    let shown = control.workspace_memory(2);
    assert_eq!(shown, [named("large", 300), named("small", 100)]);
}
