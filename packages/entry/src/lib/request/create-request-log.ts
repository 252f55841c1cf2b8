import type {ServerResponse} from 'node:http';
import {sendRefusal} from '../admission/send-refusal.js';
import {spreadRetryAfter} from '../admission/spread-retry-after.js';
import type {HostContext} from './host-context.js';
import type {RequestLog} from './request-log.js';

type Options = {
	/** The caller's id of the request; empty where the request has none. */
	readonly id: string;
	/** When the request began to wait at this host, in monotonic ms. */
	readonly receivedAt: number;
	/** How long it waited before this host read it, as far as that is known, in ms. */
	readonly waitedMs: number;
	readonly res: ServerResponse;
};

const roundMs = (ms: number | undefined): number | undefined => ms === undefined ? undefined : Math.round(ms);

/** Creates the log of one request. Each of its functions writes one line; one of them is called when the request ends. */
export const createRequestLog = ({id, receivedAt, waitedMs, res}: Options, {log, config, headerNames, closesAfter, random, now}: HostContext): RequestLog => {
	const elapsedMs = (): number => Math.round(now() - receivedAt);
	const msAfterReceipt = (at: number | undefined): number | undefined => at === undefined ? undefined : roundMs(at - receivedAt);

	return {
		refused(refusal, fields = {}) {
			const spread = spreadRetryAfter(refusal, random());
			const {code, status, ran, retryAfterSeconds} = spread;
			log('request_refused', {
				id, code, status, ran, retry_after_s: retryAfterSeconds, version: config()?.version, ms: elapsedMs(), ...fields,
			});
			if (closesAfter(res)) {
				res.shouldKeepAlive = false;
			}

			sendRefusal(res, spread, id === '' ? [] : [headerNames.requestId, id]);
		},
		answered({status, timing: {sentAt, firstAt, maxPauseMs}}, fields) {
			log('request_answered', {
				id, status, ms: elapsedMs(), sent_ms: msAfterReceipt(sentAt), first_ms: msAfterReceipt(firstAt), max_pause_ms: roundMs(maxPauseMs), ...fields,
			});
		},
		left({timing: {chosenAt, sentAt}, leftAt}, fields) {
			log('request_left', {
				id,
				ms: elapsedMs(),
				waited_ms: roundMs(waitedMs),
				chosen_ms: msAfterReceipt(chosenAt),
				sent_ms: msAfterReceipt(sentAt),
				left_ms: msAfterReceipt(leftAt),
				...fields,
			});
		},
	};
};
