import {SpanStatusCode} from '@opentelemetry/api';
import type {Run} from '@deckwheel/ledger';
import type {Place} from '../placing/place.js';
import type {Context} from '../process/context.js';
import type {Job} from './job.js';
import type {RunEnd} from './run-end.js';
import {sendWithinMs} from './send-within-ms.js';

type Options = {
	readonly job: Job;
	readonly run: Run;
	readonly place: Place;
	/** When the claim was asked for, in monotonic ms. */
	readonly claimedAt: number;
};

/**
Sends a run that was claimed to its endpoint, and tells the place how it ended.

The time is checked once more right before: this host may have been frozen since the claim was granted.
*/
export const sendRun = async ({clock, log, metrics, tracing}: Context, {job, run, place, claimedAt}: Options): Promise<RunEnd> =>
	tracing.tracer.startActiveSpan('endpoint.run', async span => {
		span.setAttributes({'deckwheel.endpoint': place.endpoint, 'deckwheel.run': run.number});
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
