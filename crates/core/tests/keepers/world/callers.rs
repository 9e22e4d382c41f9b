//! Callers, what they ask and what they saw.

use super::*;

impl World {
    pub(super) fn caller_step(&mut self, number: u64) {
        let wait = Duration::from_millis(self.rng.random_range(5..60));
        self.schedule(wait, WorldEvent::CallerStep(number));
        if self.callers[number as usize].asked.is_some() || self.is_healed {
            return;
        }
        if self.rng.random_range(0..60) == 0 {
            self.schedule(Duration::ZERO, WorldEvent::EntryRestart(number));
        }
        if self.rng.random_range(0..4) == 0 {
            self.read_revision();
        }
        let (op, command) = self.next_command(number);
        self.ask(number, op, command);
    }

    /// A linearizable read, as a lease grants it.
    pub(super) fn read_revision(&mut self) {
        let leaders: Vec<ReplicaId> = self
            .nodes
            .iter()
            .filter(|(id, node)| {
                let keeper = node.keeper.as_ref();
                keeper.is_some_and(|k| k.core.is_serving(self.local(**id)))
            })
            .map(|(id, _)| *id)
            .collect();
        for id in leaders {
            let Some(keeper) = self.nodes[&id].keeper.as_ref() else {
                continue;
            };
            let seen = keeper.state.plan.declared_at;
            let at = i64::try_from(self.now).expect("short");
            self.history.push(Operation {
                client_id: None,
                call_time: at,
                return_time: at,
                op: KeyedOp {
                    key: REVISION_KEY,
                    op: SeenOp::Read { seen },
                },
                metadata: None,
            });
        }
    }

    pub(super) fn next_command(&mut self, number: u64) -> (KeyedOp, KeeperCommand) {
        let caller = &mut self.callers[number as usize];
        if let Some(repeat) = caller.repeats.take() {
            return repeat;
        }
        if let Some((key, attempt)) = caller.granted.take() {
            return self.follow_claim(key, attempt);
        }
        match self.rng.random_range(0..6) {
            0 => self.declare(number),
            1 | 2 => {
                let session = self.rng.random_range(0..SESSIONS) + self.now / 2_000_000 * SESSIONS;
                let wish = self.rng.random_range(0..VERSIONS);
                let name = session.to_string();
                let command = KeeperCommand::Bind {
                    session: SessionKey::new(&workspace(), &name),
                    wish: version(wish),
                };
                let op = SeenOp::Bind { wish, seen: None };
                (
                    KeyedOp {
                        key: SESSION_KEYS + session,
                        op,
                    },
                    command,
                )
            }
            _ => self.claim(number),
        }
    }

    pub(super) fn declare(&mut self, number: u64) -> (KeyedOp, KeeperCommand) {
        let caller = &mut self.callers[number as usize];
        caller.content += 1;
        let content = caller.content * 10 + number;
        let base = caller.declared;
        let change = SubmittedChange {
            operator: format!("operator {number}"),
            base: Some(base),
            content: SubmittedContent::Declaration(Box::new(plan(content))),
        };
        let op = SeenOp::Declare {
            base,
            content,
            seen: None,
        };
        let key = REVISION_KEY;
        (KeyedOp { key, op }, KeeperCommand::Submit(Box::new(change)))
    }

    pub(super) fn claim(&mut self, number: u64) -> (KeyedOp, KeeperCommand) {
        // Callers repeat each other's requests: the key changes only now and then.
        let key = self.now / 400_000;
        let caller = &mut self.callers[number as usize];
        let attempt = AttemptId {
            entry: entry_id(number),
            incarnation: self.entries[number as usize].incarnation,
            number: caller.number * ENTRIES + number,
        };
        let request = ClaimRequest {
            key: RequestKey::new(&workspace(), &key.to_string()),
            fingerprint: 7,
            attempt: attempt.clone(),
            deadline: TimePoint::from_micros(self.now + 600_000),
        };
        let op = SeenOp::Claim {
            attempt: attempt.number,
            seen: None,
        };
        if self.settings.defect == Some(SeededDefect::ClaimNotAwaited) {
            self.dispatch(key, attempt.number);
        }
        (KeyedOp { key, op }, KeeperCommand::Claim(request))
    }

    pub(super) fn follow_claim(
        &mut self,
        key: u64,
        attempt: AttemptId,
    ) -> (KeyedOp, KeeperCommand) {
        let request = RequestKey::new(&workspace(), &key.to_string());
        let number = attempt.number;
        if self.rng.random_range(0..5) == 0 && !self.dispatches.contains_key(&key) {
            let op = SeenOp::Release {
                attempt: number,
                seen: None,
            };
            let command = KeeperCommand::Release {
                key: request,
                attempt,
            };
            return (KeyedOp { key, op }, command);
        }
        self.dispatch(key, number);
        let op = SeenOp::Settle {
            attempt: number,
            seen: None,
        };
        let command = KeeperCommand::Settle {
            key: request,
            attempt,
            answer: StoredAnswer {
                status: 200,
                content_type: String::new(),
                body: Some(number.to_le_bytes().to_vec()),
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
        let known = *self.dispatches.entry(key).or_insert(attempt);
        if known != attempt {
            self.fail(format!(
                "request {key} runs for attempts {known} and {attempt}"
            ));
        }
    }

    pub(super) fn ask(&mut self, number: u64, op: KeyedOp, command: KeeperCommand) {
        let stamp = self.now;
        let caller = &mut self.callers[number as usize];
        caller.number += 1;
        let asked = Asked {
            number: caller.number,
            called_at: stamp,
            op,
            command,
        };
        let command = asked.command.clone();
        let serial = asked.number;
        caller.asked = Some(asked);
        let timeout = Duration::from_millis(500);
        self.schedule(timeout, WorldEvent::CallerTimeout(number, serial));
        // Every replica that believes to lead is asked: a stale one must not answer.
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        let offset = self.rng.random_range(0..ids.len());
        for i in 0..ids.len() {
            let id = ids[(i + offset) % ids.len()];
            let now = self.local(id);
            let Some(keeper) = self.nodes.get_mut(&id).and_then(|n| n.keeper.as_mut()) else {
                continue;
            };
            let bytes = encode(stamp, command.clone());
            if let Ok((term, index)) = keeper.core.propose(now, &bytes) {
                keeper.waiting.insert(index, (term, number, serial));
                self.pump(id);
                return;
            }
        }
    }

    pub(super) fn answered(&mut self, number: u64, serial: u64, outcome: KeeperOutcome) {
        let caller = &mut self.callers[number as usize];
        if caller
            .asked
            .as_ref()
            .is_none_or(|asked| asked.number != serial)
        {
            return;
        }
        let Some(mut asked) = caller.asked.take() else {
            return;
        };
        self.counts.answered += 1;
        let key = asked.op.key;
        // A version that no plan declares yet is refused: nothing is bound.
        if let KeeperOutcome::Bind(BindOutcome::NotAllowed(_)) = outcome {
            return;
        }
        read_outcome(&mut asked, outcome, caller, key);
        if matches!(
            asked.op.op,
            SeenOp::Release {
                seen: Some(true),
                ..
            }
        ) {
            self.dispatches.remove(&key);
        }
        let at = i64::try_from(self.now).expect("short");
        self.record(number, asked, at);
    }

    pub(super) fn record(&mut self, number: u64, asked: Asked, return_time: i64) {
        self.history.push(Operation {
            client_id: u32::try_from(number).ok(),
            call_time: i64::try_from(asked.called_at).expect("short"),
            return_time,
            op: asked.op,
            metadata: None,
        });
    }

    /// No answer came: the same command is sent again, or given up as may be or not.
    pub(super) fn caller_timeout(&mut self, number: u64, serial: u64) {
        let is_repeated = self.rng.random_range(0..2) == 0;
        let caller = &mut self.callers[number as usize];
        if caller
            .asked
            .as_ref()
            .is_none_or(|asked| asked.number != serial)
        {
            return;
        }
        let Some(asked) = caller.asked.take() else {
            return;
        };
        if is_repeated {
            caller.repeats = Some((asked.op.clone(), asked.command.clone()));
        }
        self.record(number, asked, NEVER);
    }

    pub(super) fn record_unanswered(&mut self) {
        for number in 0..ENTRIES {
            if let Some(asked) = self.callers[number as usize].asked.take() {
                self.record(number, asked, NEVER);
            }
        }
    }
}

fn read_outcome(asked: &mut Asked, outcome: KeeperOutcome, caller: &mut Caller, key: u64) {
    match (&mut asked.op.op, outcome) {
        (SeenOp::Bind { seen, .. }, KeeperOutcome::Bind(BindOutcome::Bound(bound))) => {
            *seen = bound.as_str().trim_start_matches("m@").parse().ok();
        }
        (SeenOp::Claim { seen, .. }, KeeperOutcome::Claim(claim)) => {
            *seen = Some(match claim {
                ClaimOutcome::Granted => SeenClaim::Granted,
                ClaimOutcome::Settled(_) => SeenClaim::Settled,
                ClaimOutcome::Unknown => SeenClaim::Unknown,
                _ => SeenClaim::Running,
            });
            if let KeeperCommand::Claim(request) = &asked.command
                && *seen == Some(SeenClaim::Granted)
            {
                caller.granted = Some((key, request.attempt.clone()));
            }
        }
        (SeenOp::Settle { seen, .. }, KeeperOutcome::Settle(settled, _)) => {
            *seen = Some(settled != SettleOutcome::NotHeld);
        }
        (SeenOp::Release { seen, .. }, KeeperOutcome::Done(is_done)) => *seen = Some(is_done),
        (SeenOp::Declare { seen, .. }, KeeperOutcome::Change(change)) => match change {
            ChangeOutcome::Accepted(revision) => {
                caller.declared = caller.declared.max(revision);
                *seen = Some(Ok(revision));
            }
            ChangeOutcome::Conflict { current, .. } => {
                caller.declared = caller.declared.max(current);
                *seen = Some(Err(current));
            }
            ChangeOutcome::Invalid(_) => {}
        },
        _ => {}
    }
}
