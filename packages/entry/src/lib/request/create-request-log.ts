import type {ServerResponse} from 'node:http';
import {sendRefusal} from '../admission/send-refusal.js';
import type {HostContext} from './host-context.js';
import type {RequestLog} from './request-log.js';

type Options = {
	readonly id: string;
	/** Monotonic ms. */
	readonly receivedAt: number;
	readonly res: ServerResponse;
};

/** Creates the log of one request: one line when it ends, whichever way. */
export const createRequestLog = ({id, receivedAt, res}: Options, {log, config, headerNames, closesAfter, now}: HostContext): RequestLog => {
	const ms = (): number => Math.round(now() - receivedAt);
	return {
		refused(refusal, fields = {}) {
			const {code, status, ran} = refusal;
			log('request_refused', {
				id, code, status, ran, version: config()?.version, ms: ms(), ...fields,
			});
			if (closesAfter(res)) {
				res.shouldKeepAlive = false;
			}

			sendRefusal(res, refusal, id === '' ? [] : [headerNames.requestId, id]);
		},
		answered(status, fields) {
			log('request_answered', {
				id, status, ms: ms(), ...fields,
			});
		},
		left(fields) {
			log('request_left', {id, ms: ms(), ...fields});
		},
	};
};
