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
const notePoison = ({job, run, place, poison}: Options, {end, sentAt}: Sent): void => {
	const subjects = subjectsOfJob(job);
	if (end.outcome === 'finished' || end.outcome === 'failed') {
		poison.noteCompletedRun(subjects, end.outcome === 'finished');
	} else if (end.outcome === 'lost') {
		const endpoint = {id: `${place.endpoint} ${job.key.text}#${run.number}`, address: new URL(place.url).host};
		void poison.noteLostRun({
			...subjects, id: job.key.text, endpoint, sentAt,
		});
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
		if (end.outcome === 'finished') {
			place.succeeded(end.outputTokens);
		} else if (isDropped) {
			place.abandoned();
		} else {
			place.failed();
			span.setStatus({code: SpanStatusCode.ERROR});
		}

		notePoison(options, {end, sentAt});
		span.setAttribute('deckwheel.outcome', end.outcome);
		span.end();
		log('info', 'run_ended', {
			key: job.key.text, run: run.number, endpoint: place.endpoint, outcome: end.outcome, served: end.served, trace: span.spanContext().traceId,
		});
		metrics.count('run.ended', {outcome: end.outcome, endpoint: place.endpoint});
		return end;
	});
