import {SpanStatusCode} from '@opentelemetry/api';
import {afterNextPoll} from '@deckwheel/core';
import type {Run} from '@deckwheel/ledger';
import type {PoisonDetector} from '@deckwheel/poison';
import type {Place} from '../placing/place.js';
import type {Context} from '../process/context.js';
import {subjectsOfJob} from './subjects-of-job.js';
import type {Job} from './job.js';
import type {RunEnd} from './run-end.js';
import {sendWithinMs} from './send-within-ms.js';

type Options = {
	readonly job: Job;
	readonly run: Run;
	readonly place: Place;
	/** When the claim was asked for, in monotonic ms. */
	readonly claimedAt: number;
	readonly poison: PoisonDetector;
};

type Sent = {
	readonly end: RunEnd;
	/** Monotonic ms. */
	readonly sentAt: number;
};

// Of an endpoint, the bundle names no life: each run stands for the one that it was sent to.
const notePoison = async ({job, run, place, poison}: Options, {end, sentAt}: Sent): Promise<void> => {
	const subjects = subjectsOfJob(job);
	if (end.outcome === 'finished' || end.outcome === 'failed') {
		poison.noteCompletedRun(subjects, end.outcome === 'finished');
	} else if (end.outcome === 'lost') {
		const endpoint = {id: `${place.endpoint} ${job.key.text}#${run.number}`, address: new URL(place.url).host};
		const hasCrashed = await poison.noteLostRun({
			...subjects, id: job.key.text, endpoint, sentAt,
		});
		if (end.reason === 'unstated_end' && !hasCrashed) {
			poison.noteCompletedRun(subjects, false);
		}
	}
};

const tellPlace = (place: Place, {outcome, reason, outputTokens}: RunEnd, isDropped: boolean): void => {
	if (outcome === 'finished') {
		place.succeeded(outputTokens);
	} else if (isDropped || reason === 'unstated_end') {
		// A service that always answers so would be ejected, and its other calls with it. One that has ended refuses the next run.
		place.abandoned();
	} else {
		place.failed();
	}
};

/**
Sends a run that was claimed to its endpoint, and tells the place how it ended.

The time and the caller are checked once more right before: this host may have been frozen since the claim was granted.
*/
export const sendRun = async ({clock, log, metrics, tracing}: Context, options: Options): Promise<RunEnd> =>
	tracing.tracer.startActiveSpan('endpoint.run', async span => {
		const {job, run, place, claimedAt} = options;
		span.setAttributes({'deckwheel.endpoint': place.endpoint, 'deckwheel.run': run.number});
		await afterNextPoll();
		const isTooLate = clock.monotonic() - claimedAt > sendWithinMs || clock.wall() > run.sendBy;
		const isDropped = isTooLate || !job.isWanted();
		const sentAt = clock.monotonic();
		const end: RunEnd = isDropped ? {outcome: 'not_run', served: 0, outputTokens: 0} : await job.send(run, place.url);
		tellPlace(place, end, isDropped);
		if (end.outcome !== 'finished' && !isDropped) {
			span.setStatus({code: SpanStatusCode.ERROR});
		}

		void notePoison(options, {end, sentAt});
		span.setAttribute('deckwheel.outcome', end.outcome);
		span.end();
		log('info', 'run_ended', {
			key: job.key.text, run: run.number, endpoint: place.endpoint, outcome: end.outcome, reason: end.reason, served: end.served, trace: span.spanContext().traceId,
		});
		metrics.count('run.ended', {outcome: end.outcome, endpoint: place.endpoint});
		return end;
	});
