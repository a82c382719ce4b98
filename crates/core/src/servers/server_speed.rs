//! What is known of the speed of one backend server, and the forecasts that follow from it.

use std::time::Duration;

use crate::LoadShare;

/// Speed of one backend server, as known to one instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerSpeed {
    /// Time per token or answer as a multiple of that of a usual server of the service under the
    /// same load; 1 if the server is as fast as usual, within the tolerance, or unknown.
    pub relative_time: f64,
    /// Time per token (of an engine) or answer (of any other server) at a usual server, in ms, with
    /// the request that is being placed; `None` if not learned yet.
    pub ms_per_unit: Option<f64>,
    /// Time per prompt token at a usual engine, in ms; `None` if not learned yet.
    pub ms_per_prompt_token: Option<f64>,
}

impl Default for ServerSpeed {
    fn default() -> Self {
        ServerSpeed {
            relative_time: 1.0,
            ms_per_unit: None,
            ms_per_prompt_token: None,
        }
    }
}

impl ServerSpeed {
    /// Returns the forecast time from the send to the first event of a stream, with the prompts
    /// that the engine reads before; zero if not learned yet.
    pub fn first_event(&self, load: &LoadShare, prompt_tokens: u32) -> Duration {
        let tokens = load.unread_tokens as f64 + f64::from(prompt_tokens);
        self.time(self.ms_per_prompt_token, tokens)
    }

    /// Returns the forecast time between two events of a stream; zero if not learned yet.
    pub fn event_gap(&self, tokens_per_event: u32) -> Duration {
        self.time(self.ms_per_unit, f64::from(tokens_per_event))
    }

    /// Returns the forecast time of an answer of a server that is not an engine; zero if not
    /// learned yet.
    pub fn answer(&self) -> Duration {
        self.time(self.ms_per_unit, 1.0)
    }

    fn time(&self, ms_per_unit: Option<f64>, units: f64) -> Duration {
        let ms = ms_per_unit.unwrap_or_default() * units * self.relative_time;
        Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or_default()
    }
}
