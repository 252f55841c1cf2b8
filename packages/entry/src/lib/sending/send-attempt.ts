import {request as sendRequest, type IncomingMessage} from 'node:http';
import {performance} from 'node:perf_hooks';
import {httpStatus} from '@deckwheel/core';
import type {HeaderNames} from '../../adapter/header-names.js';
import type {AttemptResult} from './attempt-result.js';
import type {Attempt} from './attempt.js';
import type {ConnectionPool} from './connection-pool.js';

/**
A request on a kept connection that ends without a byte of an answer after this long, in ms, casts doubt on the other
connections that are kept to its endpoint: what silenced one has mostly silenced them all. Closing them costs a new
connection each; an endpoint that is only slow costs as little.
*/
const doubtAfterMs = 1000;

const judge = (response: IncomingMessage, id: string, headerNames: HeaderNames): AttemptResult => {
	const {headers, statusCode} = response;
	if (headers[headerNames.requestId] !== id && headers[headerNames.requestId] !== undefined) {
		response.destroy();
		return {type: 'lost', reason: 'answer_of_another_request'};
	}

	if (statusCode === httpStatus.misdirectedRequest) {
		response.resume();
		return {type: 'misdirected'};
	}

	if (headers[headerNames.notRun] !== undefined) {
		response.resume();
		return {type: 'not_run'};
	}

	return {type: 'answered', response};
};

/** Sends a request to an endpoint and waits for the head of its answer. */
export const sendAttempt = async (attempt: Attempt, pool: ConnectionPool, headerNames: HeaderNames): Promise<AttemptResult> => new Promise(resolve => {
	const {endpoint, id, method, path, headers, body, signal, connectBy, onConnect, onHead} = attempt;
	const sentAt = performance.now();
	let isConnected = false;
	let answer: IncomingMessage | undefined;
	const req = sendRequest({
		method,
		path,
		agent: pool.agentFor(endpoint.id, endpoint.address),
		headers: headers as string[],
		signal,
	});
	const connectTimer = setTimeout(() => {
		// A connection that came while this process was busy elsewhere is reported before this.
		setImmediate(() => {
			if (!isConnected) {
				onConnect(performance.now() - sentAt);
				req.destroy(new Error('connect_timeout'));
			}
		});
	}, connectBy - sentAt);
	req.on('socket', socket => {
		const markConnected = (): void => {
			isConnected = true;
			clearTimeout(connectTimer);
		};

		if (socket.connecting) {
			const startedAt = performance.now();
			socket.once('connect', () => {
				markConnected();
				onConnect(performance.now() - startedAt);
			});
		} else {
			markConnected();
		}
	});
	req.on('response', response => {
		// A connection may break later on; whoever reads the answer hears of it.
		response.on('error', () => undefined);
		answer = response;
		const result = judge(response, id, headerNames);
		// Another process at the endpoint's address speaks for itself.
		if (result.type === 'answered' || result.type === 'not_run') {
			onHead(response);
		}

		resolve(result);
	});
	req.on('error', error => {
		clearTimeout(connectTimer);
		// An answer without a length would else end as if whole, though its connection was reset.
		answer?.destroy(error);
		const reason = (error as NodeJS.ErrnoException).code ?? error.message;
		resolve(isConnected ? {type: 'lost', reason} : {type: 'unsent', reason});
	});
	req.on('close', () => {
		clearTimeout(connectTimer);
		if (!answer && req.reusedSocket && performance.now() - sentAt >= doubtAfterMs) {
			pool.closeIdle(endpoint.id);
		}

		resolve({type: 'lost', reason: 'closed'});
	});
	req.end(body);
});
