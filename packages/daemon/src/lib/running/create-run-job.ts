import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {SpanStatusCode} from '@opentelemetry/api';
import type {Outcome, Refusal, RunState} from '@deckwheel/core';
import {
	ranStateOf, slotOfBudget, type Claim, type ClaimRequest, type Run, type SlotReply,
} from '@deckwheel/ledger';
import type {AskSlot} from '../slots/ask-slot.js';
import type {Context} from '../process/context.js';
import type {Place} from '../placing/place.js';
import type {RouterTask} from '../placing/router-task.js';
import {mayRetryRun} from './may-retry-run.js';
import {ranAfter} from './ran-after.js';
import {refusalAfterRun} from './refusal-after-run.js';
import {runRefusals} from './run-refusals.js';
import {withEarlierRuns} from './with-earlier-runs.js';
import type {Job} from './job.js';
import type {RunEnd} from './run-end.js';
import type {RunJob} from './run-job.js';
import type {Settler} from './settler.js';

/** How long a runner may take from its claim to sending. */
const sendWithinMs = 3000;

/** How long the slot of a key may take to answer, in ms. Chosen without a measurement. */
const claimTimeoutMs = 4000;

/** Before a run of another host is looked for again, in ms. Chosen without a measurement. */
const followPauseMs = 60;
type Options = {
	readonly askSlot: AskSlot;
	readonly router: RouterTask;
	readonly settler: Settler;
	readonly keepMs: () => number;
};

/** A claim is to be made. `ran` tells whether the request ran so far. */
type ToClaim = {readonly type: 'claim'; readonly ran: RunState};

/** What is to be done next with a job. `ran` tells whether it ran so far. */
type Next = {readonly type: 'done'; readonly refusal?: Refusal} | {readonly type: 'again'; readonly ran: RunState};

const done = (refusal?: Refusal): Next => ({type: 'done', refusal});
const again = (ran: RunState): Next => ({type: 'again', ran});

/**
Creates the function that takes a job from its claim to its answer.

Order matters: the endpoint is chosen first, so that the claim can record it;
nothing is sent before the claim is granted; and the end is settled before the
next run of the same request may start.
*/
export const createRunJob = (context: Context, {askSlot, router, settler, keepMs}: Options): RunJob => {
	const {settings, self, clock, log, metrics, tracing} = context;

	const ask = async (job: Job, request: Parameters<AskSlot>[2]): Promise<Outcome<SlotReply, 'unreachable'>> =>
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

	const settle = async (job: Job, run: Run, end: RunEnd, isFinal: boolean): Promise<void> =>
		settler.settle(job.key.home, {
			type: 'settle',
			budget: job.budget,
			key: job.key.text,
			run: run.number,
			outcome: end.outcome,
			served: end.served,
			final: isFinal,
			answer: end.answer,
		});

	const afterRun = async (job: Job, run: Run, end: RunEnd): Promise<Next> => {
		if (end.outcome === 'finished') {
			await settle(job, run, end, true);
			return done();
		}

		const mayRetry = mayRetryRun({
			outcome: end.outcome, isRepeatable: job.isRepeatable, hasOutput: job.hasOutput(), deadline: job.monotonicDeadline, now: clock.monotonic(),
		});
		const isRetried = mayRetry && router.mayRetry();
		await settle(job, run, end, !isRetried);
		return isRetried ? again(ranAfter(end)) : done(refusalAfterRun(end, job.isRepeatable));
	};

	const send = async (job: Job, run: Run, place: Place, claimedAt: number): Promise<RunEnd> =>
		tracing.tracer.startActiveSpan('endpoint.run', async span => {
			span.setAttributes({'deckwheel.endpoint': place.endpoint, 'deckwheel.run': run.number});
			// The last check before the act. This host may have been frozen since the claim was granted.
			const isTooLate = clock.monotonic() - claimedAt > sendWithinMs || clock.wall() > run.sendBy;
			const end: RunEnd = isTooLate ? {outcome: 'not_run', served: 0, outputTokens: 0} : await job.send(run, place.url);
			if (end.outcome === 'finished') {
				place.succeeded(end.outputTokens);
			} else if (isTooLate) {
				place.abandoned();
			} else {
				place.failed();
				span.setStatus({code: SpanStatusCode.ERROR});
			}

			span.setAttribute('deckwheel.outcome', end.outcome);
			span.end();
			log('info', 'run_ended', {
				key: job.key.text, run: run.number, endpoint: place.endpoint, outcome: end.outcome, served: end.served, trace: span.spanContext().traceId,
			});
			metrics.count('run.ended', {outcome: end.outcome, endpoint: place.endpoint});
			return end;
		});

	// Another attempt of the same request runs already. Its stream is this caller's answer too.
	const attach = async (job: Job, run: Run): Promise<Next> => {
		const url = router.urlOf(run.endpoint);
		const end = url === undefined ? 'no_such_run' : await job.follow(run, url);
		if (end === 'cannot_follow') {
			await delay(followPauseMs);
			return again('unknown');
		}

		if (end !== 'no_such_run') {
			return afterRun(job, run, end);
		}

		if (job.hasOutput()) {
			return done(runRefusals.endpointFailed('ran'));
		}

		// The first runner may still be about to send.
		const mayStillBeSent = clock.wall() <= run.sendBy + settings.clockSkewMs;
		await (mayStillBeSent ? delay(followPauseMs) : settle(job, run, {outcome: 'lost', served: 0, outputTokens: 0}, false));

		return again('unknown');
	};

	const onReply = async (job: Job, reply: SlotReply, place: Place, claimedAt: number): Promise<Next> => {
		if (reply.type === 'run') {
			return afterRun(job, reply.run, await send(job, reply.run, place, claimedAt));
		}

		place.abandoned();
		switch (reply.type) {
			case 'attach': {
				return attach(job, reply.run);
			}

			case 'answer': {
				job.deliver(reply.answer);
				return done();
			}

			case 'refused': {
				return done(reply.refusal);
			}

			default: {
				return done(runRefusals.claimUnavailable(job.isKeyPresented));
			}
		}
	};

	// The reply to a claim may be lost after the claim was recorded. Nothing was sent, and
	// the ledger must come to know that, or a retry would wait for a run that never comes.
	const disclaim = (job: Job, attempt: string): void => {
		const {budget, key} = job;
		void settler.settle(key.home, {
			type: 'settle', budget, key: key.text, run: 0, attempt, outcome: 'not_run', served: 0, final: false,
		});
	};

	const runOnce = async (job: Job, tried: string[]): Promise<Next> => {
		const placed = await router.place({...job.place, tried});
		if (!placed.ok) {
			return done(placed.error);
		}

		const place = placed.value;
		tried.push(place.endpoint);
		const claimedAt = clock.monotonic();
		const request = claimRequest(job, place);
		const reply = await ask(job, request);
		if (reply.ok) {
			return onReply(job, reply.value, place, claimedAt);
		}

		place.abandoned();
		disclaim(job, request.attempt);
		return done(runRefusals.claimUnavailable(job.isKeyPresented));
	};

	const openRunOf = (claim: Claim): Run | undefined => claim.runs.find(({state}) => state === 'running');

	// A presented key may be a retry. What is known of it comes before any queue.
	const recall = async (job: Job): Promise<Next | ToClaim> => {
		const reply = await ask(job, {type: 'lookup', budget: job.budget, key: job.key.text});
		if (!reply.ok || reply.value.type !== 'found') {
			return done(runRefusals.claimUnavailable(job.isKeyPresented));
		}

		const {claim} = reply.value;
		if (!claim) {
			return {type: 'claim', ran: 'not_run'};
		}

		if (claim.fingerprint !== job.fingerprint) {
			return done(runRefusals.keyConflict);
		}

		if (claim.answer) {
			job.deliver(claim.answer);
			return done();
		}

		const open = openRunOf(claim);
		return open ? attach(job, open) : {type: 'claim', ran: ranStateOf(claim)};
	};

	return async job => {
		const tried: string[] = [];
		let mustRecall = job.isKeyPresented;
		let ran: RunState = 'not_run';
		while (clock.monotonic() < job.monotonicDeadline) {
			const recalled: Next | ToClaim = mustRecall ? await recall(job) : {type: 'claim', ran};
			ran = recalled.type === 'done' ? ran : recalled.ran;
			const next: Next = recalled.type === 'claim' ? await runOnce(job, tried) : recalled;
			if (next.type === 'done') {
				return withEarlierRuns(next.refusal, ran);
			}

			({ran} = next);
			mustRecall = true;
		}

		return runRefusals.deadlineExceeded(job.isKeyPresented && ran === 'not_run' ? 'unknown' : ran);
	};
};
