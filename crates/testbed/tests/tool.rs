//! Runs the command-line tool as a process against a running scene.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use iristhread_testbed::CALLER_KEY;
use iristhread_testbed::OPERATOR_KEY;
use iristhread_testbed::Scene;
use iristhread_testbed::TestRequest;
use tokio::process::Command;

struct Printed {
    code: Option<i32>,
    out: String,
    err: String,
}

async fn run(scene: &Scene, arguments: &[&str]) -> Printed {
    let own = std::env::current_exe().unwrap();
    let program = own.ancestors().nth(2).unwrap().join("iristhread");
    let operators = format!("http://{}", scene.addresses("a1").operators);
    let output = Command::new(program)
        .args(arguments)
        .env("IRISTHREAD_SERVER", scene.caller_url("a1"))
        .env("IRISTHREAD_KEY", CALLER_KEY)
        .env("IRISTHREAD_OPERATOR", operators)
        .env("IRISTHREAD_OPERATOR_KEY", OPERATOR_KEY)
        .output()
        .await
        .unwrap();
    Printed {
        code: output.status.code(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Uses one scene for all commands. Each row is a command, its exit code, and a text that its
/// standard output or standard error must contain.
#[tokio::test]
async fn every_command_does_its_work() {
    let scene = Scene::builder(1).start().await.unwrap();
    let rows: [(&[&str], i32, &str); 14] = [
        (
            &[
                "--output",
                "json",
                "complete",
                "quote-narrator",
                "p [tokens=4]",
            ],
            0,
            "\"finish_reason\":\"stop\"",
        ),
        (&["chat", "showroom-chat", "hello [tokens=3]"], 0, " "),
        (&["complete", "no-model", "p"], 1, "is not offered"),
        (
            &["call", "delivery-slots", "book", "monday"],
            0,
            "\"execution\":1",
        ),
        (&["call", "no-service", "x", ""], 1, "is not offered"),
        (&["get", "models"], 0, "quote-narrator"),
        (&["get", "planets"], 1, "no kind of resource"),
        (&["describe", "workspaces", "quotes"], 0, "declared"),
        (&["status"], 0, "configuration 1"),
        (&["wait", "1"], 0, "in force on 1 of 1"),
        (
            &["wait", "9", "--timeout-ms", "0"],
            5,
            "not in force on: a1",
        ),
        (&["timeline"], 0, "configuration 1 in force"),
        (&["explain", "nothing"], 0, "No instance"),
        (&["--output", "xml", "status"], 2, "use text or json"),
    ];
    for (arguments, code, expected) in rows {
        let printed = run(&scene, arguments).await;
        let text = printed.out + &printed.err;
        assert_eq!(printed.code, Some(code), "{arguments:?}: {text}");
        assert!(text.contains(expected), "{arguments:?}: {text}");
    }
}

#[tokio::test]
async fn a_stream_above_the_limit_is_refused() {
    let settings = "[limits]\nmax_streams = 1";
    let scene = Scene::builder(1).settings(settings).start().await.unwrap();
    let body = "{\"model\": \"quote-narrator\", \"prompt\": \"p [tokens=200]\", \"stream\": true}";
    let request = TestRequest::post("/v1/completions", body);
    let (one, other) = tokio::join!(scene.ask("a1", &request), scene.ask("a1", &request));
    let mut statuses = [one.unwrap(), other.unwrap()].map(|reply| reply.status.as_u16());
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 503]);
}
