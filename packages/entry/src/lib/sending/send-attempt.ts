import {request as sendRequest, type ClientRequest, type IncomingMessage} from 'node:http';
import {performance} from 'node:perf_hooks';
import {httpStatus} from '@deckwheel/core';
import {checkChunks} from '@deckwheel/host-kit';
import type {HeaderNames} from '../../adapter/header-names.js';
import {isParseError} from '../response-ends/is-parse-error.js';
import type {AttemptResult} from './attempt-result.js';
import type {Attempt} from './attempt.js';
import type {ConnectionPool} from './connection-pool.js';
import {discardBody} from './discard-body.js';
import {hasValidNames} from './has-valid-names.js';
import {isValidHead} from './is-valid-head.js';
import {limitInformational} from './limit-informational.js';
import {onceAborted} from './once-aborted.js';

/**
When a request on a reused connection ends without a response head after at least this time, in ms, the idle connections to its endpoint
are closed: what silenced one connection has mostly silenced them all. Closing them costs one new connection each, and no more if the
endpoint was only slow.
*/
const silentAfterMs = 1000;

/** Tells from the head of a response who sent it and whether the request was run. Other responses than `answered` are discarded. */
const classifyResponse = (response: IncomingMessage, id: string, headerNames: HeaderNames): AttemptResult => {
	const {headers, statusCode} = response;
	if (!isValidHead(response)) {
		response.destroy();
		return {type: 'lost', reason: 'status_line', isInvalid: true};
	}

	if (!hasValidNames(headers)) {
		response.destroy();
		return {type: 'lost', reason: 'header_name', isInvalid: true};
	}

	if (headers[headerNames.requestId] !== id && headers[headerNames.requestId] !== undefined) {
		response.destroy();
		return {type: 'lost', reason: 'answer_of_another_request', isInvalid: true};
	}

	if (statusCode === httpStatus.misdirectedRequest) {
		discardBody(response);
		return {type: 'misdirected'};
	}

	if (headers[headerNames.notRun] !== undefined) {
		discardBody(response);
		return {type: 'not_run'};
	}

	return {type: 'answered', response};
};

/**
Aborts an attempt, unless its response is complete and only waits to be read. The response is destroyed first: when its request is destroyed,
node:http drops what was not read yet, and ends the response as if nothing were missing.
*/
const abortAttempt = (req: ClientRequest, response: IncomingMessage | undefined): void => {
	const error = Object.assign(new Error('The attempt was aborted'), {code: 'ABORT_ERR'});
	if (!response) {
		req.destroy(error);
	} else if (!response.complete) {
		response.destroy(error);
	}
};

/**
Sends a request to an endpoint and waits for the head of the response. Never rejects.

@param headerNames Names the headers that identify the request and that say that it was not run.
*/
export const sendAttempt = async (attempt: Attempt, pool: ConnectionPool, headerNames: HeaderNames): Promise<AttemptResult> => new Promise(resolve => {
	const {endpoint, id, method, path, headers, body, signal, onHead} = attempt;
	const sentAt = performance.now();
	let isConnected = false;
	let receivedResponse: IncomingMessage | undefined;
	const req = sendRequest({
		method,
		path,
		agent: pool.createAgent(endpoint, {
			...attempt,
			onConnected(tunnel) {
				isConnected = true;
				attempt.onConnected(tunnel);
			},
		}),
		headers: headers as string[],
	});
	checkChunks(req);
	limitInformational(req);
	const stopListening = onceAborted(signal, () => {
		// A request that is aborted while it waits for its connection would end only with that.
		if (!isConnected) {
			resolve({type: 'unsent', reason: 'aborted'});
		}

		abortAttempt(req, receivedResponse);
	});

	req.on('response', response => {
		// The connection may break while the response is read. The reader of the response notices by 'close'; an 'error' without a listener would be thrown.
		response.on('error', () => undefined);
		receivedResponse = response;
		const result = classifyResponse(response, id, headerNames);
		// What another process at the endpoint's address announces says nothing about the endpoint.
		if (result.type === 'answered' || result.type === 'not_run') {
			onHead(response);
		}

		resolve(result);
	});
	req.on('error', error => {
		// After a reset of the connection, node:http would end a response without a length as if it were complete. What goes wrong after a whole
		// response, such as bytes that belong to none, does not concern it.
		if (!receivedResponse?.complete) {
			receivedResponse?.destroy(error);
		}

		const reason = (error as NodeJS.ErrnoException).code ?? error.message;
		resolve(isConnected ? {type: 'lost', reason, isInvalid: isParseError(reason)} : {type: 'unsent', reason});
	});
	req.on('close', () => {
		if (!receivedResponse && req.reusedSocket && performance.now() - sentAt >= silentAfterMs) {
			pool.closeIdle(endpoint.id);
		}

		stopListening();
		resolve({type: 'lost', reason: 'closed', isInvalid: false});
	});
	req.end(body);
});
