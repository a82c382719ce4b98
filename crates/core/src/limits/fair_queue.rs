//! Weighted fair queue between workspaces, with priorities and deadlines.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::Now;
use crate::RequestId;
use crate::Submission;
use crate::WorkspaceId;

/// A submission that waits in the queue.
#[derive(Clone, Debug)]
pub struct Queued {
    /// The waiting submission.
    pub submission: Submission,
    /// When it was submitted to the queue.
    pub since: Now,
}

#[derive(Debug, Default)]
struct Lane {
    weight: f64,
    finish_tag: f64,
    waiting: VecDeque<Queued>,
}

/// Start-time fair queuing (Goyal, Vin and Cheng 1996): each workspace has a
/// lane with a virtual time that advances by cost over weight, and the lane
/// with the least virtual time is served next. Requests whose engine failed are
/// served before all lanes, since their callers have received a part of the
/// answer already.
#[derive(Debug, Default)]
pub struct FairQueue {
    virtual_time: f64,
    lanes: BTreeMap<WorkspaceId, Lane>,
    retried: VecDeque<Queued>,
}

impl FairQueue {
    /// Enqueues a submission. Within a lane, a higher priority is served first,
    /// then an earlier arrival. Submissions after the first attempt bypass the lanes.
    pub fn push(&mut self, weight: u32, queued: Queued) {
        if queued.submission.attempt > 1 {
            self.retried.push_back(queued);
            return;
        }
        let virtual_time = self.virtual_time;
        let lane = self
            .lanes
            .entry(queued.submission.workspace.clone())
            .or_default();
        lane.weight = f64::from(weight.max(1));
        if lane.waiting.is_empty() {
            lane.finish_tag = lane.finish_tag.max(virtual_time);
        }
        let priority = queued.submission.priority;
        let goes_after = |other: &Queued| other.submission.priority >= priority;
        let index = lane.waiting.partition_point(goes_after);
        lane.waiting.insert(index, queued);
    }

    /// Returns the submission that is served next.
    pub fn peek(&self) -> Option<&Queued> {
        if let Some(queued) = self.retried.front() {
            return Some(queued);
        }
        let (_, lane) = self.next_lane()?;
        lane.waiting.front()
    }

    /// Removes the submission that is served next and charges `cost` to its workspace.
    pub fn pop(&mut self, cost: f64) -> Option<Queued> {
        if let Some(queued) = self.retried.pop_front() {
            return Some(queued);
        }
        let (workspace, _) = self.next_lane()?;
        let workspace = workspace.clone();
        let lane = self.lanes.get_mut(&workspace)?;
        self.virtual_time = self.virtual_time.max(lane.finish_tag);
        lane.finish_tag += cost / lane.weight;
        lane.waiting.pop_front()
    }

    /// Charges `cost` to a workspace whose request did not have to wait.
    pub fn charge(&mut self, workspace: &WorkspaceId, weight: u32, cost: f64) {
        let virtual_time = self.virtual_time;
        let lane = self.lanes.entry(workspace.clone()).or_default();
        lane.weight = f64::from(weight.max(1));
        lane.finish_tag = lane.finish_tag.max(virtual_time) + cost / lane.weight;
    }

    /// Removes and returns all submissions whose deadline has passed.
    pub fn take_expired(&mut self, now: Now) -> Vec<Queued> {
        let mut expired = Vec::new();
        let lanes = self.lanes.values_mut().map(|lane| &mut lane.waiting);
        for waiting in lanes.chain([&mut self.retried]) {
            let (late, rest): (VecDeque<_>, VecDeque<_>) = std::mem::take(waiting)
                .into_iter()
                .partition(|queued| queued.submission.deadline <= now);
            *waiting = rest;
            expired.extend(late);
        }
        let virtual_time = self.virtual_time;
        self.lanes
            .retain(|_, lane| !lane.waiting.is_empty() || lane.finish_tag > virtual_time);
        expired
    }

    /// Removes and returns the submission of `request`, if it is queued.
    pub fn remove(&mut self, request: &RequestId) -> Option<Queued> {
        let lanes = self.lanes.values_mut().map(|lane| &mut lane.waiting);
        for waiting in lanes.chain([&mut self.retried]) {
            let index = waiting
                .iter()
                .position(|q| q.submission.request == *request);
            if let Some(index) = index {
                return waiting.remove(index);
            }
        }
        None
    }

    /// Number of queued requests of one workspace, without those after their first attempt.
    pub fn depth(&self, workspace: &str) -> usize {
        self.lanes
            .get(workspace)
            .map_or(0, |lane| lane.waiting.len())
    }

    /// Number of queued requests of all workspaces.
    pub fn len(&self) -> usize {
        let waiting = self.lanes.values().map(|lane| lane.waiting.len());
        waiting.sum::<usize>() + self.retried.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn next_lane(&self) -> Option<(&WorkspaceId, &Lane)> {
        self.lanes
            .iter()
            .filter(|(_, lane)| !lane.waiting.is_empty())
            .min_by(|(_, a), (_, b)| a.finish_tag.total_cmp(&b.finish_tag))
    }
}
