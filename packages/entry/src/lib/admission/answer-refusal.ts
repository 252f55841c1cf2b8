import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {HostRefusal} from './host-refusal.js';

/** Answers a request that gets no endpoint's answer. Once an answer began, it is broken off, so that it does not look whole. */
export const answerRefusal = (res: ServerResponse, {status, code, message, ran, retryAfterSeconds}: HostRefusal, idHeader: readonly string[]): void => {
	if (res.headersSent) {
		res.destroy();
		return;
	}

	const body = JSON.stringify({
		error: {
			code, message, ran, retry_after_seconds: retryAfterSeconds,
		},
	});
	const retryAfter = retryAfterSeconds === undefined ? [] : ['Retry-After', String(retryAfterSeconds)];
	res.writeHead(status, [...idHeader, 'Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body)), ...retryAfter]);
	res.end(body);
};
