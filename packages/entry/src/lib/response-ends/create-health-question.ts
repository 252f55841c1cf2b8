import {setTimeout as sleep} from 'node:timers/promises';
import {probeListener, type ProbeResult} from '@deckwheel/host-kit';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {Service} from '../../config/service.js';
import type {ConnectionPool} from '../sending/connection-pool.js';
import {askHealth} from './ask-health.js';

/** How often an endpoint is asked that resets the connection or does not accept it in time: it may only be at its limit of connections. */
const maxAsked = 3;

/** For how long this host waits before it looks at its other connections, and before it asks again, in ms. Those of a process that has ended end by then. */
const pauseMs = 150;

/** How long an endpoint may take to answer before a connection that stays open has to do, in ms: longer than a process takes to end. */
const answerMs = 1000;

/** The time that a process that dies may take from the end of its first connection to that of its listening socket, in ms. */
const exitMs = 50;

type Options = {
	/** The service with this name in the configuration in force. */
	readonly serviceOf: (name: string) => Service | undefined;
	/** As `hasQuietSince` of `ConnectionPool`. */
	readonly hasQuietSince: ConnectionPool['hasQuietSince'];
	/** The header in which an answer names its endpoint. */
	readonly instanceHeader: string;
	readonly connectMs: number;
};

/**
Creates the question whether an endpoint still runs: it answers, or a connection that was open before `sentAt`, when the response in question was asked for,
still is. An endpoint that leaves may refuse connections and still serve those that it has; one that was opened later may be to another process. Where its
service names no path for the question, a connection that is accepted and lasts has to do.
*/
export const createHealthQuestion = ({serviceOf, hasQuietSince, instanceHeader, connectMs}: Options) => {
	const ask = async (endpoint: ListedEndpoint): Promise<ProbeResult> => {
		const path = endpoint.serves.map(name => serviceOf(name)?.healthPath).find(Boolean);
		return path === undefined
			? probeListener(endpoint.address, {timeoutMs: connectMs, holdMs: exitMs})
			: askHealth(endpoint, {
				path, instanceHeader, connectMs, answerMs,
			});
	};

	return async (endpoint: ListedEndpoint, sentAt = Number.NEGATIVE_INFINITY): Promise<ProbeResult> => {
		let result: ProbeResult = 'silent';
		for (let asked = 0; asked < maxAsked && result === 'silent'; asked++) {
			const answer = ask(endpoint);
			const pause = sleep(pauseMs);
			if (await Promise.race([answer, pause]) === 'reached') {
				return 'reached';
			}

			await pause;
			if (hasQuietSince(endpoint.id, sentAt)) {
				return 'reached';
			}

			result = await answer;
		}

		return result;
	};
};
