import {request as requestByHttp, type IncomingMessage} from 'node:http';
import {request as requestByHttps} from 'node:https';
import type {RequestFunction} from 'got';
import {checkChunks} from '@deckwheel/host-kit';

/** Sends a request for `got`, and lets no response count as whole whose chunks are framed wrongly. */
export const sendChecked: RequestFunction = (url, options, callback) => {
	const request = url.protocol === 'https:' ? requestByHttps : requestByHttp;
	const req = request(url, options);
	checkChunks(req);
	if (callback) {
		req.once('response', callback as (response: IncomingMessage) => void);
	}

	return req;
};
