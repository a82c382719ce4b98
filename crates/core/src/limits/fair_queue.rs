//! Weighted fair queue between workspaces, with priorities and deadlines.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::Now;
use crate::RequestId;
use crate::Submission;
use crate::WorkspaceId;

/// A submission that waits.
#[derive(Clone, Debug)]
pub struct Queued {
    /// What waits.
    pub submission: Submission,
    /// Since when.
    pub since: Now,
}

#[derive(Debug, Default)]
struct Lane {
    weight: f64,
    finish: f64,
    waiting: VecDeque<Queued>,
}

/// Start-time fair queuing (Goyal, Vin and Cheng 1996): each workspace has a
/// lane with a virtual time that advances by cost over weight, and the lane
/// that is furthest behind goes next. Work that an engine lost goes before all
/// lanes, since a caller holds a part of it already.
#[derive(Debug, Default)]
pub struct FairQueue {
    virtual_time: f64,
    lanes: BTreeMap<WorkspaceId, Lane>,
    continued: VecDeque<Queued>,
}

impl FairQueue {
    /// Appends a submission; within a lane a higher priority goes first, then
    /// an earlier arrival.
    pub fn push(&mut self, weight: u32, queued: Queued) {
        if queued.submission.attempt > 1 {
            self.continued.push_back(queued);
            return;
        }
        let virtual_time = self.virtual_time;
        let lane = self
            .lanes
            .entry(queued.submission.workspace.clone())
            .or_default();
        lane.weight = f64::from(weight.max(1));
        if lane.waiting.is_empty() {
            lane.finish = lane.finish.max(virtual_time);
        }
        let priority = queued.submission.priority;
        let goes_after = |other: &Queued| other.submission.priority >= priority;
        let place = lane.waiting.partition_point(goes_after);
        lane.waiting.insert(place, queued);
    }

    /// The submission that goes next.
    pub fn peek(&self) -> Option<&Queued> {
        if let Some(queued) = self.continued.front() {
            return Some(queued);
        }
        let (_, lane) = self.next_lane()?;
        lane.waiting.front()
    }

    /// Takes the submission that goes next and charges its workspace `cost`.
    pub fn pop(&mut self, cost: f64) -> Option<Queued> {
        if let Some(queued) = self.continued.pop_front() {
            return Some(queued);
        }
        let (workspace, _) = self.next_lane()?;
        let workspace = workspace.clone();
        let lane = self.lanes.get_mut(&workspace)?;
        self.virtual_time = self.virtual_time.max(lane.finish);
        lane.finish += cost / lane.weight;
        lane.waiting.pop_front()
    }

    /// Charges a workspace whose request did not have to wait.
    pub fn charge(&mut self, workspace: &WorkspaceId, weight: u32, cost: f64) {
        let virtual_time = self.virtual_time;
        let lane = self.lanes.entry(workspace.clone()).or_default();
        lane.weight = f64::from(weight.max(1));
        lane.finish = lane.finish.max(virtual_time) + cost / lane.weight;
    }

    /// Takes out everything whose deadline has passed.
    pub fn take_expired(&mut self, now: Now) -> Vec<Queued> {
        let mut expired = Vec::new();
        let lanes = self.lanes.values_mut().map(|lane| &mut lane.waiting);
        for waiting in lanes.chain([&mut self.continued]) {
            let (late, rest): (VecDeque<_>, VecDeque<_>) = std::mem::take(waiting)
                .into_iter()
                .partition(|queued| queued.submission.deadline <= now);
            *waiting = rest;
            expired.extend(late);
        }
        let virtual_time = self.virtual_time;
        self.lanes
            .retain(|_, lane| !lane.waiting.is_empty() || lane.finish > virtual_time);
        expired
    }

    /// Removes one request, if it waits.
    pub fn remove(&mut self, request: &RequestId) -> Option<Queued> {
        let lanes = self.lanes.values_mut().map(|lane| &mut lane.waiting);
        for waiting in lanes.chain([&mut self.continued]) {
            let place = waiting
                .iter()
                .position(|q| q.submission.request == *request);
            if let Some(place) = place {
                return waiting.remove(place);
            }
        }
        None
    }

    /// Requests of one workspace that wait.
    pub fn depth(&self, workspace: &str) -> usize {
        self.lanes
            .get(workspace)
            .map_or(0, |lane| lane.waiting.len())
    }

    /// Requests that wait in all.
    pub fn len(&self) -> usize {
        let waiting = self.lanes.values().map(|lane| lane.waiting.len());
        waiting.sum::<usize>() + self.continued.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn next_lane(&self) -> Option<(&WorkspaceId, &Lane)> {
        self.lanes
            .iter()
            .filter(|(_, lane)| !lane.waiting.is_empty())
            .min_by(|(_, a), (_, b)| a.finish.total_cmp(&b.finish))
    }
}
