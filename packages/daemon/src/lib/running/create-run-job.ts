import {setTimeout as delay} from 'node:timers/promises';
import type {Refusal, RunState} from '@deckwheel/core';
import type {Run, SlotReply} from '@deckwheel/ledger';
import type {PoisonDetector} from '@deckwheel/poison';
import type {Place} from '../placing/place.js';
import type {RouterTask} from '../placing/router-task.js';
import type {Context} from '../process/context.js';
import type {AskSlot} from '../slots/ask-slot.js';
import {createJobClaims} from './create-job-claims.js';
import {decideRecalled} from './decide-recalled.js';
import {subjectsOfJob} from './subjects-of-job.js';
import type {Job} from './job.js';
import {mayRetryRun} from './may-retry-run.js';
import {ranAfter} from './ran-after.js';
import {refusalAfterRun} from './refusal-after-run.js';
import type {RunEnd} from './run-end.js';
import type {RunJob} from './run-job.js';
import {runRefusals} from './run-refusals.js';
import {sendRun} from './send-run.js';
import type {Settler} from './settler.js';
import {withEarlierRuns} from './with-earlier-runs.js';

/** Before a run of another host is looked for again, in ms. */
const followPauseMs = 60;

type Options = {
	readonly askSlot: AskSlot;
	readonly router: RouterTask;
	readonly settler: Settler;
	readonly poison: PoisonDetector;
	/** How long records of keys are kept after their deadline, in ms. */
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

Order matters: the endpoint is chosen first, so that the claim can record it; nothing is sent before the claim is granted; and
the end is settled before the next run of the same request may start. What is decided on the way stands in `decideRecalled`,
`mayRetryRun`, `refusalAfterRun` and `withEarlierRuns`.
*/
export const createRunJob = (context: Context, {askSlot, router, settler, poison, keepMs}: Options): RunJob => {
	const {settings, clock} = context;
	const claims = createJobClaims(context, {askSlot, settler, keepMs});

	const afterRun = async (job: Job, run: Run, end: RunEnd): Promise<Next> => {
		if (end.outcome === 'finished') {
			await claims.settle(job, run, end, true);
			return done();
		}

		if (end.outcome === 'not_run' && !job.isWanted()) {
			await claims.settle(job, run, end, true);
			return done(runRefusals.callerLeft);
		}

		const mayRetry = mayRetryRun({
			outcome: end.outcome, isRepeatable: job.isRepeatable, hasOutput: job.hasOutput(), deadline: job.monotonicDeadline, now: clock.monotonic(),
		});
		const isRetried = mayRetry && router.mayRetry();
		await claims.settle(job, run, end, !isRetried);
		return isRetried ? again(ranAfter(end)) : done(refusalAfterRun(end, job.isRepeatable));
	};

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
		await (mayStillBeSent ? delay(followPauseMs) : claims.settle(job, run, {outcome: 'lost', served: 0, outputTokens: 0}, false));

		return again('unknown');
	};

	const onReply = async (job: Job, reply: SlotReply, place: Place, claimedAt: number): Promise<Next> => {
		if (reply.type === 'run') {
			const {run} = reply;
			return afterRun(job, run, await sendRun(context, {
				job, run, place, claimedAt, poison,
			}));
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

	const runOnce = async (job: Job, tried: string[]): Promise<Next> => {
		const blockedUntil = poison.blockedUntil(subjectsOfJob(job));
		if (blockedUntil !== undefined) {
			return done(runRefusals.requestBlocked(blockedUntil - clock.monotonic()));
		}

		const placed = await router.place({...job.place, tried});
		if (!placed.ok) {
			return done(placed.error);
		}

		const place = placed.value;
		if (!job.isWanted()) {
			place.abandoned();
			return done(runRefusals.callerLeft);
		}

		tried.push(place.endpoint);
		const claimedAt = clock.monotonic();
		const reply = await claims.claim(job, place);
		if (reply.ok) {
			return onReply(job, reply.value, place, claimedAt);
		}

		place.abandoned();
		return done(runRefusals.claimUnavailable(job.isKeyPresented));
	};

	// A presented key may be a retry. What is known of it comes before any queue.
	const recall = async (job: Job): Promise<Next | ToClaim> => {
		const reply = await claims.lookUp(job);
		if (!reply.ok || reply.value.type !== 'found') {
			return done(runRefusals.claimUnavailable(job.isKeyPresented));
		}

		const recalled = decideRecalled(reply.value.claim, job);
		switch (recalled.type) {
			case 'claim': {
				return recalled;
			}

			case 'refuse': {
				return done(recalled.refusal);
			}

			case 'deliver': {
				job.deliver(recalled.answer);
				return done();
			}

			case 'attach': {
				return attach(job, recalled.run);
			}
		}
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
