import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {refusalBody} from '@deckwheel/core';
import type {HostRefusal} from './host-refusal.js';

/** Answers a request that gets no endpoint's answer. Once an answer began, it is broken off, so that it does not look whole. */
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
