//! Says in words what happened to a request, and why.

use iristhread_core::Candidate;
use iristhread_core::TimelineEvent;
use iristhread_core::TimelineRecord;

/// One line of the time line.
pub fn format_record(record: &TimelineRecord) -> String {
    let time = record.time;
    let request = record.request.as_deref().unwrap_or("-");
    let instance = &record.instance;
    let text = describe_event(&record.event);
    format!(
        "{}.{:03} {instance} {request} {text}",
        time.wall_ms, time.count
    )
}

/// A request's story, a paragraph per event; placements list the candidates.
pub fn explain(records: &[TimelineRecord]) -> String {
    let Some(first) = records.first() else {
        return "No instance that answered remembers this request.\n".to_owned();
    };
    let start_ms = first.time.wall_ms;
    let mut story = String::new();
    for record in records {
        let after_ms = record.time.wall_ms.saturating_sub(start_ms);
        let text = describe_event(&record.event);
        story += &format!("+{after_ms} ms  {}: {text}\n", record.instance);
        if let TimelineEvent::Placed { candidates, .. } = &record.event {
            candidates
                .iter()
                .for_each(|c| story += &format_candidate(c));
        }
    }
    story
}

fn format_candidate(candidate: &Candidate) -> String {
    let Candidate {
        engine,
        score,
        reason,
    } = candidate;
    match score {
        Some(score) => format!("            {engine}: score {score:.3} ({reason})\n"),
        None => format!("            {engine}: ruled out ({reason})\n"),
    }
}

fn describe_event(event: &TimelineEvent) -> String {
    match event {
        TimelineEvent::Submitted {
            workspace,
            model,
            attempt,
        } => format!("attempt {attempt} of workspace {workspace} wants an engine for {model}"),
        TimelineEvent::Queued { depth } => {
            format!("it waits, place {depth} in the queue of its workspace: no engine has room")
        }
        TimelineEvent::Placed {
            engine,
            attempt,
            candidates,
        } => format!(
            "attempt {attempt} goes to {engine}, the lowest score of {} candidates",
            candidates.len()
        ),
        TimelineEvent::Refused {
            kind,
            retry_after_s,
        } => format!("refused before anything was sent ({kind:?}); come back in {retry_after_s} s"),
        TimelineEvent::FirstToken { attempt } => format!("first token, from attempt {attempt}"),
        TimelineEvent::AttemptLost {
            attempt,
            engine,
            cause,
            delivered,
        } => format!("attempt {attempt} on {engine} given up after {delivered} tokens: {cause}"),
        TimelineEvent::Preempted { attempt, engine } => {
            format!("{engine} displaced attempt {attempt}: its memory was full")
        }
        TimelineEvent::Reconnected { delivered } => {
            format!("the caller came back with {delivered} tokens")
        }
        TimelineEvent::CallerLost { delivered } => {
            format!("the caller's connection ended after {delivered} tokens")
        }
        TimelineEvent::Ended {
            outcome,
            delivered,
            reason,
        } => format!("ended after {delivered} tokens, outcome {outcome}: {reason}"),
        TimelineEvent::Forwarded { instance } => {
            format!("forwarded to {instance}, which alone may run it by its ticket")
        }
        TimelineEvent::ConfigInForce { version, source } => {
            format!("configuration {version} in force, from {source}")
        }
        TimelineEvent::ConfigRefused { version, reason } => {
            format!("configuration {version} refused: {reason}")
        }
    }
}
