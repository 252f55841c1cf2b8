import {randomUUID} from 'node:crypto';
import type {Result} from '@deckwheel/core';
import {slotOfBudget, type ClaimRequest, type SlotReply} from '@deckwheel/ledger';
import type {Place} from '../placing/place.js';
import type {Context} from '../process/context.js';
import type {AskSlot} from '../slots/ask-slot.js';
import type {JobClaims} from './job-claims.js';
import type {Job} from './job.js';
import {sendWithinMs} from './send-within-ms.js';
import type {Settler} from './settler.js';

/** How long the slot of a key may take to answer, in ms. */
const claimTimeoutMs = 4000;

type Options = {
	readonly askSlot: AskSlot;
	readonly settler: Settler;
	/** How long records of keys are kept after their deadline, in ms. */
	readonly keepMs: () => number;
};

/** Creates what jobs use to reach the slots of their keys. */
export const createJobClaims = ({settings, self, clock, tracing}: Context, {askSlot, settler, keepMs}: Options): JobClaims => {
	const ask = async (job: Job, request: Parameters<AskSlot>[2]): Promise<Result<SlotReply, 'unreachable'>> =>
		tracing.tracer.startActiveSpan(`slot.${request.type}`, async span => {
			const slot = slotOfBudget(job.budget, settings.slots);
			span.setAttributes({'deckwheel.home': job.key.home, 'deckwheel.slot': slot});
			const deadline = Math.min(job.monotonicDeadline, clock.monotonic() + claimTimeoutMs);
			const outcome = await askSlot(job.key.home, slot, request, deadline);
			span.setAttribute('deckwheel.reply', outcome.ok ? outcome.value.type : outcome.error);
			span.end();
			return outcome;
		});

	const claimRequest = (job: Job, place: Place): ClaimRequest => ({
		type: 'claim',
		budget: job.budget,
		key: job.key.text,
		fingerprint: job.fingerprint,
		repeatable: job.isRepeatable,
		attempt: randomUUID(),
		runner: self,
		endpoint: place.endpoint,
		reason: place.reason,
		worstCase: job.worstCase,
		sendBy: Math.min(job.deadline, clock.wall() + sendWithinMs),
		keepUntil: job.deadline + keepMs(),
		keyMadeAt: job.key.madeAt,
	});

	// The reply to a claim may be lost after the claim was recorded. Nothing was sent, and
	// the ledger must come to know that, or a retry would wait for a run that never comes.
	const withdraw = ({budget, key}: Job, attempt: string): void => {
		void settler.settle(key.home, {
			type: 'settle', budget, key: key.text, run: 0, attempt, outcome: 'not_run', served: 0, final: false,
		});
	};

	return {
		async claim(job, place) {
			const request = claimRequest(job, place);
			const reply = await ask(job, request);
			if (!reply.ok) {
				withdraw(job, request.attempt);
			}

			return reply;
		},
		lookUp: async job => ask(job, {type: 'lookup', budget: job.budget, key: job.key.text}),
		settle: async (job, run, end, isFinal) => settler.settle(job.key.home, {
			type: 'settle',
			budget: job.budget,
			key: job.key.text,
			run: run.number,
			outcome: end.outcome,
			served: end.served,
			final: isFinal,
			answer: end.answer,
		}),
	};
};
