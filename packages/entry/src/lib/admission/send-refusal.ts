import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {refusalBody} from '@deckwheel/core';
import type {HostRefusal} from './host-refusal.js';

/**
Sends a refusal to the caller. If a response has begun, its connection is destroyed instead, so that the response does not look whole.

@param idHeader The name and the value of the header with the request's id; empty where the request has none.
*/
export const sendRefusal = (res: ServerResponse, refusal: HostRefusal, idHeader: readonly string[]): void => {
	if (res.headersSent) {
		res.destroy();
		return;
	}

	const {status, retryAfterSeconds} = refusal;
	const body = JSON.stringify(refusalBody(refusal));
	const retryAfter = retryAfterSeconds === undefined ? [] : ['Retry-After', String(retryAfterSeconds)];
	res.writeHead(status, [...idHeader, 'Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body)), ...retryAfter]);
	res.end(body);
};
