import {get} from 'node:http';
import {splitAddress} from '@deckwheel/core';
import type {ProbeResult} from '@deckwheel/host-kit';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import {limitInformational} from '../sending/limit-informational.js';
import {isParseError} from './is-parse-error.js';

const resultOfError = (code = ''): ProbeResult => {
	if (code === 'ECONNREFUSED') {
		return 'refused';
	}

	return isParseError(code) ? 'reached' : 'silent';
};

type Endpoint = Pick<ListedEndpoint, 'address' | 'instance'>;

type Options = {
	readonly path: string;
	/** The header in which the answer names the endpoint. */
	readonly instanceHeader: string;
	/** How long the connection may take to be accepted, in ms. */
	readonly connectMs: number;
	/** How long the answer is waited for then, in ms. */
	readonly answerMs: number;
};

/**
Asks an endpoint for its health, over a connection of its own. Any bytes that come back count as `reached`, whatever they say, unless they name another
endpoint, to which the address was given (`refused`). So does a connection that is still open after `answerMs`: a busy endpoint lets the question wait. A
connection that ends without a byte is `silent`: a proxy accepts connections for an endpoint that has ended, and the system those of a process that is
ending, which it resets a moment later.
*/
export const askHealth = async ({address, instance}: Endpoint, {path, instanceHeader, connectMs, answerMs}: Options): Promise<ProbeResult> => new Promise(resolve => {
	const req = get({...splitAddress(address), path, agent: false});
	limitInformational(req);
	const finish = (result: ProbeResult): void => {
		clearTimeout(timer);
		resolve(result);
		req.destroy();
	};

	// If the event loop was blocked, what came meanwhile may still be unread when a timer fires. `setImmediate` lets it come first.
	const finishAfter = (ms: number, result: ProbeResult): NodeJS.Timeout => setTimeout(() => {
		setImmediate(finish, result);
	}, ms);

	let timer = finishAfter(connectMs, 'silent');
	req.on('socket', socket => {
		socket.on('connect', () => {
			clearTimeout(timer);
			timer = finishAfter(answerMs, 'reached');
		});
	});
	req.on('response', ({headers}) => {
		finish((headers[instanceHeader] ?? instance) === instance ? 'reached' : 'refused');
	});
	req.on('error', (error: NodeJS.ErrnoException) => {
		finish(resultOfError(error.code));
	});
});
