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
import type {Job} from './job.js';
import type {RunEnd} from './run-end.js';
import type {RunJob} from './run-job.js';
import type {Settler} from './settler.js';

/** How long a runner may take from its claim to sending. */
const sendWithinMs = 3000;
const claimTimeoutMs = 4000;
const followPauseMs = 60;
const comeBackSeconds = 2;

type Options = {
	readonly askSlot: AskSlot;
	readonly router: RouterTask;
	readonly settler: Settler;
	readonly keepMs: () => number;
};

const deadlineExceeded = (ran: Refusal['ran']): Refusal => ({code: 'deadline_exceeded', message: 'The deadline passed before the answer was there.', ran});

const endpointFailed = (ran: Refusal['ran']): Refusal => ({
	code: 'endpoint_failed', message: 'The endpoint broke off. Retry with the same key.', ran, retryAfterSeconds: comeBackSeconds,
});

const outcomeUnknown: Refusal = {code: 'outcome_unknown', message: 'Contact with the endpoint was lost. Whether the request ran is unknown; it will not be run again.', ran: 'unknown'};

// A key that the caller presented may have run before, in a hall that cannot be asked now.
const claimUnavailable = (job: Job): Refusal => ({
	code: 'claim_unavailable',
	message: 'The hall that keeps the record of this key cannot be reached now. Retry with the same key.',
	ran: job.isKeyPresented ? 'unknown' : 'not_run',
	retryAfterSeconds: comeBackSeconds,
});

/** A claim is to be made. `ran` tells whether the request ran so far. */
type ToClaim = {readonly type: 'claim'; readonly ran: RunState};

/** What is to be done next with a job. `ran` tells whether it ran so far. */
type Next = {readonly type: 'done'; readonly refusal?: Refusal} | {readonly type: 'again'; readonly ran: RunState};

const done = (refusal?: Refusal): Next => ({type: 'done', refusal});
const again = (ran: RunState): Next => ({type: 'again', ran});

const ranAfter = ({outcome}: RunEnd): RunState => {
	if (outcome === 'not_run') {
		return 'not_run';
	}

	return outcome === 'lost' ? 'unknown' : 'ran';
};

// A refusal of the last try must not deny that an earlier one ran.
const withEarlierRuns = (refusal: Refusal | undefined, ran: RunState): Refusal | undefined =>
	refusal?.ran === 'not_run' && ran !== 'not_run' ? {...refusal, ran} : refusal;

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

	const refusalAfter = (job: Job, end: RunEnd): Refusal => {
		switch (end.outcome) {
			case 'not_run': {
				return endpointFailed('not_run');
			}

			case 'lost': {
				return job.isRepeatable ? endpointFailed('unknown') : outcomeUnknown;
			}

			default: {
				return endpointFailed('ran');
			}
		}
	};

	const afterRun = async (job: Job, run: Run, end: RunEnd): Promise<Next> => {
		if (end.outcome === 'finished') {
			await settle(job, run, end, true);
			return done();
		}

		const mayRunAgain = end.outcome === 'not_run' || job.isRepeatable;
		const isRetried = mayRunAgain && !job.hasOutput() && clock.monotonic() < job.monotonicDeadline && router.mayRetry();
		await settle(job, run, end, !isRetried);
		return isRetried ? again(ranAfter(end)) : done(refusalAfter(job, end));
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
			return done(endpointFailed('ran'));
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
				return done(claimUnavailable(job));
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
		return done(claimUnavailable(job));
	};

	const openRunOf = (claim: Claim): Run | undefined => claim.runs.find(({state}) => state === 'running');

	// A presented key may be a retry. What is known of it comes before any queue.
	const recall = async (job: Job): Promise<Next | ToClaim> => {
		const reply = await ask(job, {type: 'lookup', budget: job.budget, key: job.key.text});
		if (!reply.ok || reply.value.type !== 'found') {
			return done(claimUnavailable(job));
		}

		const {claim} = reply.value;
		if (!claim) {
			return {type: 'claim', ran: 'not_run'};
		}

		if (claim.fingerprint !== job.fingerprint) {
			return done({code: 'key_conflict', message: 'This key was used for a request with other content. Use a new key.', ran: 'not_run'});
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

		return deadlineExceeded(job.isKeyPresented && ran === 'not_run' ? 'unknown' : ran);
	};
};
