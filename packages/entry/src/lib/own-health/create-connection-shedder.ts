import type {ConnectionRate} from './connection-rate.js';
import {isConnectionSurge} from './is-connection-surge.js';
import {isSheddingConnections} from './is-shedding-connections.js';
import {stepConnectionRate} from './step-connection-rate.js';

/** How long other hosts should accept new connections after this one closed some unread, in ms: the balancer takes a host out that twice in a row, each second, is not ready. */
const notReadyMs = 2500;

/** Decides, from one new connection of a caller to the next, whether this host closes it unread. */
type ConnectionShedder = {
	/** Counts a new connection of a caller. */
	readonly count: () => void;
	/** Ends one interval of counting: the connections since the last one make the newest sample of the rate. */
	readonly endInterval: () => void;
	/** Whether this host closes a connection unread that has waited for `waitedMs`. */
	readonly isShedding: (waitedMs: number) => boolean;
	/** Whether this host closed connections unread a moment ago, so that other hosts should accept new ones instead. */
	readonly hasShedRecently: () => boolean;
};

/** Creates the shedder of a host that has had no connection. `now` returns monotonic ms. */
export const createConnectionShedder = (now: () => number): ConnectionShedder => {
	let rate: ConnectionRate = {recent: 0, usual: 0};
	let counted = {connections: 0, since: now()};
	/** Whether the host shed at the last question, and when it last did, in monotonic ms. */
	let shedding = {isOn: false, lastAt: Number.NEGATIVE_INFINITY};
	return {
		count() {
			counted = {...counted, connections: counted.connections + 1};
		},
		endInterval() {
			rate = stepConnectionRate(rate, counted.connections, now() - counted.since);
			counted = {connections: 0, since: now()};
		},
		isShedding(waitedMs) {
			const isOn = isSheddingConnections({wasShedding: shedding.isOn, waitedMs, isSurge: isConnectionSurge(rate)});
			shedding = {isOn, lastAt: isOn ? now() : shedding.lastAt};
			return isOn;
		},
		hasShedRecently: () => now() - shedding.lastAt < notReadyMs,
	};
};
