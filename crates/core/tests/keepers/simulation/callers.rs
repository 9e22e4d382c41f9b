//! Simulated callers: the commands they submit and the results they observe.

use super::*;

impl Simulation {
    pub(super) fn caller_step(&mut self, caller_index: u64) {
        let wait = Duration::from_millis(self.rng.random_range(5..60));
        self.schedule(wait, SimulationEvent::CallerStep(caller_index));
        if self.callers[caller_index as usize].pending.is_some() || self.is_healed {
            return;
        }
        if self.rng.random_range(0..60) == 0 {
            self.schedule(Duration::ZERO, SimulationEvent::EntryRestart(caller_index));
        }
        if self.rng.random_range(0..4) == 0 {
            self.read_revision();
        }
        let (op, command) = self.next_command(caller_index);
        self.submit(caller_index, op, command);
    }

    /// Reads the revision from every replica that considers itself a serving leader. The leader
    /// lease must make this linearizable.
    pub(super) fn read_revision(&mut self) {
        let leaders: Vec<ReplicaId> = self
            .nodes
            .iter()
            .filter(|(id, node)| {
                let keeper = node.keeper.as_ref();
                keeper.is_some_and(|k| k.core.is_serving(self.local_time(**id)))
            })
            .map(|(id, _)| *id)
            .collect();
        for id in leaders {
            let Some(keeper) = self.nodes[&id].keeper.as_ref() else {
                continue;
            };
            let result = keeper.state.plan.declared_at;
            let at = i64::try_from(self.now).expect("short");
            self.history.push(Operation {
                client_id: None,
                call_time: at,
                return_time: at,
                op: KeyedOp {
                    key: REVISION_KEY,
                    op: ObservedOp::Read { result },
                },
                metadata: None,
            });
        }
    }

    pub(super) fn next_command(&mut self, caller_index: u64) -> (KeyedOp, KeeperCommand) {
        let caller = &mut self.callers[caller_index as usize];
        if let Some(retry) = caller.retry.take() {
            return retry;
        }
        if let Some((key, attempt)) = caller.granted.take() {
            return self.finish_claim(key, attempt);
        }
        match self.rng.random_range(0..6) {
            0 => self.declare(caller_index),
            1 | 2 => {
                let session = self.rng.random_range(0..SESSIONS) + self.now / 2_000_000 * SESSIONS;
                let requested = self.rng.random_range(0..VERSIONS);
                let name = session.to_string();
                let command = KeeperCommand::Bind {
                    session: SessionKey::new(&workspace(), &name),
                    wish: version(requested),
                };
                let op = ObservedOp::Bind {
                    requested,
                    result: None,
                };
                (
                    KeyedOp {
                        key: FIRST_SESSION_KEY + session,
                        op,
                    },
                    command,
                )
            }
            _ => self.claim(caller_index),
        }
    }

    pub(super) fn declare(&mut self, caller_index: u64) -> (KeyedOp, KeeperCommand) {
        let caller = &mut self.callers[caller_index as usize];
        caller.declaration_count += 1;
        let content = caller.declaration_count * 10 + caller_index;
        let base = caller.known_revision;
        let change = SubmittedChange {
            operator: format!("operator {caller_index}"),
            base: Some(base),
            content: SubmittedContent::Declaration(Box::new(plan(content))),
        };
        let op = ObservedOp::Declare {
            base,
            content,
            result: None,
        };
        let key = REVISION_KEY;
        (KeyedOp { key, op }, KeeperCommand::Submit(Box::new(change)))
    }

    pub(super) fn claim(&mut self, caller_index: u64) -> (KeyedOp, KeeperCommand) {
        // The key changes only every 400 ms, so that callers compete for the same requests.
        let key = self.now / 400_000;
        let caller = &mut self.callers[caller_index as usize];
        let attempt = AttemptId {
            entry: entry_id(caller_index),
            incarnation: self.entries[caller_index as usize].incarnation,
            number: caller.last_call_id * ENTRIES + caller_index,
        };
        let request = ClaimRequest {
            key: RequestKey::new(&workspace(), &key.to_string()),
            fingerprint: 7,
            attempt: attempt.clone(),
            deadline: TimePoint::from_micros(self.now + 600_000),
        };
        let op = ObservedOp::Claim {
            attempt: attempt.number,
            result: None,
        };
        if self.settings.defect == Some(SeededDefect::DispatchBeforeClaim) {
            self.dispatch(key, attempt.number);
        }
        (KeyedOp { key, op }, KeeperCommand::Claim(request))
    }

    pub(super) fn finish_claim(
        &mut self,
        key: u64,
        attempt: AttemptId,
    ) -> (KeyedOp, KeeperCommand) {
        let request = RequestKey::new(&workspace(), &key.to_string());
        let attempt_number = attempt.number;
        if self.rng.random_range(0..5) == 0 && !self.dispatches.contains_key(&key) {
            let op = ObservedOp::Release {
                attempt: attempt_number,
                result: None,
            };
            let command = KeeperCommand::Release {
                key: request,
                attempt,
            };
            return (KeyedOp { key, op }, command);
        }
        self.dispatch(key, attempt_number);
        let op = ObservedOp::Settle {
            attempt: attempt_number,
            result: None,
        };
        let command = KeeperCommand::Settle {
            key: request,
            attempt,
            answer: StoredAnswer {
                status: 200,
                content_type: String::new(),
                body: Some(attempt_number.to_le_bytes().to_vec()),
            },
            bill: BillRecord {
                request,
                account: SpendKey {
                    workspace: workspace(),
                    kind: None,
                    version: None,
                },
                input_tokens: 0,
                output_tokens: 0,
                cost: 1,
            },
        };
        (KeyedOp { key, op }, command)
    }

    pub(super) fn dispatch(&mut self, key: u64, attempt: u64) {
        self.counts.dispatched += 1;
        let first_attempt = *self.dispatches.entry(key).or_insert(attempt);
        if first_attempt != attempt {
            self.record_failure(format!(
                "request {key} is dispatched for attempts {first_attempt} and {attempt}"
            ));
        }
    }

    pub(super) fn submit(&mut self, caller_index: u64, op: KeyedOp, command: KeeperCommand) {
        let stamp = self.now;
        let caller = &mut self.callers[caller_index as usize];
        caller.last_call_id += 1;
        let pending = PendingCall {
            call_id: caller.last_call_id,
            called_at: stamp,
            op,
            command,
        };
        let command = pending.command.clone();
        let call_id = pending.call_id;
        caller.pending = Some(pending);
        let timeout = Duration::from_millis(500);
        self.schedule(
            timeout,
            SimulationEvent::CallerTimeout(caller_index, call_id),
        );
        // Tries every replica, from a random one on, until one accepts the proposal. A stale leader
        // must not be able to commit it.
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        let offset = self.rng.random_range(0..ids.len());
        for i in 0..ids.len() {
            let id = ids[(i + offset) % ids.len()];
            let now = self.local_time(id);
            let Some(keeper) = self.nodes.get_mut(&id).and_then(|n| n.keeper.as_mut()) else {
                continue;
            };
            let bytes = encode(stamp, command.clone());
            if let Ok((term, index)) = keeper.core.propose(now, &bytes) {
                keeper
                    .pending_proposals
                    .insert(index, (term, caller_index, call_id));
                self.process_ready(id);
                return;
            }
        }
    }

    pub(super) fn on_answer(&mut self, caller_index: u64, call_id: u64, outcome: KeeperOutcome) {
        let caller = &mut self.callers[caller_index as usize];
        if caller
            .pending
            .as_ref()
            .is_none_or(|pending| pending.call_id != call_id)
        {
            return;
        }
        let Some(mut pending) = caller.pending.take() else {
            return;
        };
        self.counts.answered += 1;
        let key = pending.op.key;
        // The version is not declared by any plan yet, so nothing was bound.
        if let KeeperOutcome::Bind(BindOutcome::NotAllowed(_)) = outcome {
            return;
        }
        record_outcome(&mut pending, outcome, caller, key);
        if matches!(
            pending.op.op,
            ObservedOp::Release {
                result: Some(true),
                ..
            }
        ) {
            self.dispatches.remove(&key);
        }
        let at = i64::try_from(self.now).expect("short");
        self.record(caller_index, pending, at);
    }

    pub(super) fn record(&mut self, caller_index: u64, pending: PendingCall, return_time: i64) {
        self.history.push(Operation {
            client_id: u32::try_from(caller_index).ok(),
            call_time: i64::try_from(pending.called_at).expect("short"),
            return_time,
            op: pending.op,
            metadata: None,
        });
    }

    /// Handles a call without an answer: it may or may not have taken effect, and is sent again
    /// with a probability of one half.
    pub(super) fn caller_timeout(&mut self, caller_index: u64, call_id: u64) {
        let is_retried = self.rng.random_range(0..2) == 0;
        let caller = &mut self.callers[caller_index as usize];
        if caller
            .pending
            .as_ref()
            .is_none_or(|pending| pending.call_id != call_id)
        {
            return;
        }
        let Some(pending) = caller.pending.take() else {
            return;
        };
        if is_retried {
            caller.retry = Some((pending.op.clone(), pending.command.clone()));
        }
        self.record(caller_index, pending, NO_RETURN);
    }

    pub(super) fn record_unanswered(&mut self) {
        for caller_index in 0..ENTRIES {
            if let Some(pending) = self.callers[caller_index as usize].pending.take() {
                self.record(caller_index, pending, NO_RETURN);
            }
        }
    }
}

fn record_outcome(
    pending: &mut PendingCall,
    outcome: KeeperOutcome,
    caller: &mut Caller,
    key: u64,
) {
    match (&mut pending.op.op, outcome) {
        (ObservedOp::Bind { result, .. }, KeeperOutcome::Bind(BindOutcome::Bound(bound))) => {
            *result = bound.as_str().trim_start_matches("m@").parse().ok();
        }
        (ObservedOp::Claim { result, .. }, KeeperOutcome::Claim(claim)) => {
            *result = Some(match claim {
                ClaimOutcome::Granted => ObservedClaim::Granted,
                ClaimOutcome::Settled(_) => ObservedClaim::Settled,
                ClaimOutcome::Unknown => ObservedClaim::Unknown,
                _ => ObservedClaim::Running,
            });
            if let KeeperCommand::Claim(request) = &pending.command
                && *result == Some(ObservedClaim::Granted)
            {
                caller.granted = Some((key, request.attempt.clone()));
            }
        }
        (ObservedOp::Settle { result, .. }, KeeperOutcome::Settle(settled, _)) => {
            *result = Some(settled != SettleOutcome::NotHeld);
        }
        (ObservedOp::Release { result, .. }, KeeperOutcome::Done(is_done)) => {
            *result = Some(is_done);
        }
        (ObservedOp::Declare { result, .. }, KeeperOutcome::Change(change)) => match change {
            ChangeOutcome::Accepted(revision) => {
                caller.known_revision = caller.known_revision.max(revision);
                *result = Some(Ok(revision));
            }
            ChangeOutcome::Conflict { current, .. } => {
                caller.known_revision = caller.known_revision.max(current);
                *result = Some(Err(current));
            }
            ChangeOutcome::Invalid(_) => {}
        },
        _ => {}
    }
}
