import {LRUCache} from 'lru-cache';
import type {Log} from '../../adapter/log.js';
import type {EndpointChooser} from './endpoint-chooser.js';
import type {EndpointEnds} from './endpoint-ends.js';

/**
For how long an endpoint counts as ended by a closed port or by a report, in ms: as long as the list of a host that is cut off from the store may
contain an ended process. A false report takes an endpoint from a host for this long at most.
*/
const endedMs = 15_000;

/**
For how long an endpoint counts as ended once another process answered at its address, in ms: longer than any list contains an ended process. After
this time a request finds out whether that answer was wrong.
*/
const replacedMs = 600_000;

/** The most endpoints of which this host remembers that it told peers: a bound on memory. */
const maxTold = 1000;

type Options = {
	readonly chooser: Pick<EndpointChooser, 'note'>;
	/** Tells the peers of the hall that an endpoint has ended. Called once for each endpoint, since an id names one life. */
	readonly tellPeers: (endpoint: string) => void;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Creates the component that keeps requests away from endpoints that have ended.

What peers report is not passed on here, so a false report goes no further than those that were told by the host that made it.
*/
export const createEndpointEnds = ({chooser, tellPeers, log, now}: Options): EndpointEnds => {
	const told = new LRUCache<string, true>({max: maxTold});
	return {
		noteEnded(endpoint, how) {
			chooser.note({type: 'ended', endpoint, until: now() + (how === 'misdirected' ? replacedMs : endedMs)});
			if (told.has(endpoint)) {
				return;
			}

			told.set(endpoint, true);
			log('endpoint_ended', {endpoint, how});
			tellPeers(endpoint);
		},
		noteReported(endpoint) {
			chooser.note({type: 'reported_ended', endpoint, until: now() + endedMs});
			log('endpoint_ended', {endpoint, how: 'reported'});
		},
	};
};
