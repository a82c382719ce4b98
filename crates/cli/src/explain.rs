//! Descriptions of timeline records as text.

use iristhread_core::Candidate;
use iristhread_core::TimelineEvent;
use iristhread_core::TimelineRecord;

/// Formats a timeline record as one line.
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

/// Describes the records of one request, a line per event; placements list their candidates.
pub fn explain(records: &[TimelineRecord]) -> String {
    let Some(first) = records.first() else {
        return "No instance that answered remembers this request.\n".to_owned();
    };
    let start_ms = first.time.wall_ms;
    let mut description = String::new();
    for record in records {
        let after_ms = record.time.wall_ms.saturating_sub(start_ms);
        let text = describe_event(&record.event);
        description += &format!("+{after_ms} ms  {}: {text}\n", record.instance);
        if let TimelineEvent::Placed { candidates, .. } = &record.event {
            candidates
                .iter()
                .for_each(|c| description += &format_candidate(c));
        }
    }
    description
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
        } => format!("attempt {attempt} of workspace {workspace} requests an engine for {model}"),
        TimelineEvent::Queued { depth } => {
            format!("queued at position {depth} in its workspace: no engine has room")
        }
        TimelineEvent::Placed {
            engine,
            attempt,
            candidates,
        } => format!(
            "attempt {attempt} placed on {engine}, which has the lowest score of {} candidates",
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
        } => format!("attempt {attempt} on {engine} lost after {delivered} tokens: {cause}"),
        TimelineEvent::Preempted { attempt, engine } => {
            format!("{engine} preempted attempt {attempt}: its memory was full")
        }
        TimelineEvent::Reconnected { delivered } => {
            format!("the caller reconnected with {delivered} tokens")
        }
        TimelineEvent::CallerLost { delivered } => {
            format!("the caller's connection closed after {delivered} tokens")
        }
        TimelineEvent::Ended {
            outcome,
            delivered,
            reason,
        } => format!("ended after {delivered} tokens, outcome {outcome}: {reason}"),
        TimelineEvent::Forwarded { instance } => {
            format!("forwarded to {instance}, the only instance that may run it with its ticket")
        }
        TimelineEvent::ConfigInForce { version, source } => {
            format!("configuration {version} in force, from {source}")
        }
        TimelineEvent::ConfigRefused { version, reason } => {
            format!("configuration {version} refused: {reason}")
        }
    }
}
