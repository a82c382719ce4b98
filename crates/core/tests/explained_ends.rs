//! Ends that another suspect explains: an explanation counts only if something follows from it.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use iristhread_core::Fingerprint;
use iristhread_core::IncarnationId;
use iristhread_core::Now;
use iristhread_core::PromptParts;
use iristhread_core::ServerCrash;
use iristhread_core::SuspectedRequest;
use iristhread_core::Suspicions;
use test_case::test_case;

const START: Now = Duration::from_secs(100);

/// Time between two crashes: longer than a crash burst.
const BETWEEN_CRASHES: Duration = Duration::from_millis(300);

/// Ends under a content after which it is sent at most so many times more.
const ENOUGH_ENDS: usize = 3;
const MOST_SENDS_AFTER: usize = 3;

/// A request of the only workspace, with its shared parts.
struct Prompt {
    content: u128,
    parts: PromptParts,
}

impl Prompt {
    fn new(content: u128, shared: &[&str]) -> Self {
        let own = format!("own {content}");
        let parts = PromptParts::of(Some("one"), shared.iter().copied(), Some(&own));
        Prompt { content, parts }
    }

    fn suspected(&self) -> SuspectedRequest<'_> {
        SuspectedRequest {
            fingerprint: Fingerprint {
                workspace: 1,
                content: self.content,
            },
            parts: &self.parts,
        }
    }
}

fn crash(suspicions: &mut Suspicions, life: IncarnationId, prompt: &Prompt) {
    let at = START + BETWEEN_CRASHES * life as u32;
    let crash = ServerCrash { life, at };
    suspicions.server_crashed_under(at, prompt.suspected(), |_| None, crash);
}

/// Whether a request is sent, and not one at a time.
fn is_sent_freely(suspicions: &Suspicions, request: SuspectedRequest<'_>) -> bool {
    let is_held = !suspicions.causes(request).is_empty();
    !is_held && suspicions.last_chance(request.fingerprint).is_none()
}

/// Lets an instance receive of one end under a request only what counts against the parts of its
/// prompt, as from a heartbeat that has no room for the content.
fn hear_parts_only(suspicions: &mut Suspicions, life: IncarnationId, prompt: &Prompt) {
    let mut other = Suspicions::default();
    crash(&mut other, life, prompt);
    let now = START + BETWEEN_CRASHES * life as u32;
    let told = other.told(now).into_iter();
    for advertised in told.filter(|advertised| advertised.part.is_some()) {
        suspicions.hear(now, None, &advertised);
    }
}

/// Guards against a content that is sent on and on since a part of its prompt has more ends, which
/// count for little against the part as they are ends of one content.
#[test_case(&["shared"], 1; "one part")]
#[test_case(&["shared", "catalogue"], 1; "two parts")]
#[test_case(&["shared", "catalogue"], 2; "two ends ahead")]
fn a_content_is_held_though_a_part_of_its_prompt_has_more_ends(shared: &[&str], ahead: u64) {
    let mut suspicions = Suspicions::default();
    let poison = Prompt::new(1, shared);
    for life in 0..ahead {
        hear_parts_only(&mut suspicions, life, &poison);
    }
    let mut sends_after = 0;
    for end in 0..40 {
        if !is_sent_freely(&suspicions, poison.suspected()) {
            continue;
        }
        sends_after += usize::from(end >= ENOUGH_ENDS);
        crash(&mut suspicions, ahead + end as u64, &poison);
    }
    assert!(sends_after <= MOST_SENDS_AFTER, "{sends_after} sends after");
}
