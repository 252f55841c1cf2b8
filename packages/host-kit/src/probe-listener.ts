import {connect} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {splitAddress} from '@deckwheel/core';
import type {ProbeResult} from './probe-result.js';

type Options = {
	/** How long the connection may take to be accepted, in ms. */
	readonly timeoutMs: number;
	/** How long it has to last, in ms. */
	readonly holdMs: number;
};

/** Opens a connection and keeps it for `holdMs`. `ended`: it was accepted, and was reset or closed before that. */
const holdConnection = async (address: string, {timeoutMs, holdMs}: Options): Promise<ProbeResult | 'ended'> => new Promise(resolve => {
	const socket = connect(splitAddress(address));
	const finish = (result: ProbeResult | 'ended'): void => {
		clearTimeout(timer);
		resolve(result);
		socket.destroy();
	};

	// If the event loop was blocked, what came before the timer fires is handled first.
	const finishLater = (result: ProbeResult): void => {
		setImmediate(finish, result);
	};

	let timer = setTimeout(finishLater, timeoutMs, 'silent');
	socket.on('connect', () => {
		clearTimeout(timer);
		timer = setTimeout(finishLater, holdMs, 'reached');
	});
	socket.on('error', ({code}: NodeJS.ErrnoException) => {
		finish(code === 'ECONNREFUSED' ? 'refused' : (code === 'ECONNRESET' ? 'ended' : 'silent'));
	});
	socket.on('end', () => {
		finish('ended');
	});
	socket.resume();
});

/**
Tells whether a process goes on listening at an `ip:port`. A single connection does not: while a process dies, its connections end before its port refuses, and
the port accepts until then; what it accepted is reset when it closes. So the connection has to last for `holdMs`. Where it does not, as at an endpoint that
takes no more connections, a second one after that time decides.
*/
export const probeListener = async (address: string, {timeoutMs, holdMs}: Options): Promise<ProbeResult> => {
	const startedAt = performance.now();
	const result = await holdConnection(address, {timeoutMs, holdMs});
	if (result !== 'ended') {
		return result;
	}

	await wait(Math.max(0, startedAt + holdMs - performance.now()));
	const later = await holdConnection(address, {timeoutMs, holdMs: 0});
	return later === 'ended' ? 'reached' : later;
};
