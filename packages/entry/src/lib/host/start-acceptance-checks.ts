import {isAccepting} from '../own-health/is-accepting.js';
import {repeatByTimer} from './repeat-by-timer.js';
import type {Servers} from './servers.js';

/** How often it is decided whether this host accepts connections of callers, in ms: before callers have given up requests that are not read. */
const acceptCheckMs = 500;

type Options = {
	readonly servers: Pick<Servers, 'isAccepting' | 'setAccepting'>;
	/** These three are the inputs of `isAccepting`. */
	readonly isOverloaded: () => boolean;
	readonly openShare: () => number | undefined;
	readonly hallHosts: () => number;
};

/** Decides at regular intervals whether the servers accept connections of callers. Returns the function that ends the checks. */
export const startAcceptanceChecks = ({servers, isOverloaded, openShare, hallHosts}: Options): (() => void) => repeatByTimer(acceptCheckMs, () => {
	servers.setAccepting(isAccepting({
		wasAccepting: servers.isAccepting(), isOverloaded: isOverloaded(), openShare: openShare(), hallHosts: hallHosts(),
	}));
});
