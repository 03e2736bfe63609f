//! Exports counters of other components as metrics.

use std::sync::Arc;

use hinge_budget::ShedCounts;

use crate::shared::Shared;

/// Counter values that were already added to the metrics.
#[derive(Default)]
pub(crate) struct Counters {
    dropped_ends: u64,
    shed: ShedCounts,
    store_calls: u64,
    wasted_messages: u64,
}

impl Counters {
    /// Adds the increase of each counter since the last call to the metrics.
    pub(crate) fn update(&mut self, shared: &Arc<Shared>) {
        let (dropped_ends, wasted_messages) =
            shared.with_dispatcher(|state, _| (state.dropped_ends(), state.totals().wasted_messages()));
        let store_calls = shared.config.counters().total_calls();
        count_new(shared, "store_calls", store_calls, &mut self.store_calls);
        count_new(shared, "task_ends_dropped", dropped_ends, &mut self.dropped_ends);
        count_new(shared, "wasted_messages", wasted_messages, &mut self.wasted_messages);
        let shed = shared.budget.usage().shed;
        count_new(shared, "bodies_shed", shed.bodies, &mut self.shed.bodies);
        count_new(shared, "connections_shed", shed.closed, &mut self.shed.closed);
        count_new(shared, "connections_refused", shed.refused, &mut self.shed.refused);
        count_new(shared, "requests_shed", shed.requests, &mut self.shed.requests);
        count_new(shared, "responses_shed", shed.responses, &mut self.shed.responses);
        count_new(shared, "unread_responses_shed", shed.unread, &mut self.shed.unread);
    }
}

fn count_new(shared: &Shared, name: &'static str, value: u64, counted: &mut u64) {
    shared.metrics.count(name, value.saturating_sub(*counted));
    *counted = value;
}
