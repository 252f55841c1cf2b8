import {smallHall} from '../peers/small-hall.js';

/**
The multiple of an equal share of one hall's hosts from which on a host has far more than others, of the requests of all halls. Below it, most hosts are as busy, and callers
that it does not accept would find no better one.
*/
const heavyFactor = 2;

type Inputs = {
	/** Whether this host cannot keep up. */
	readonly isOverloaded: boolean;
	/** This host's share of the requests that are open at endpoints, over all hosts, 0 to 1; `undefined` where that is not known. */
	readonly openShare: number | undefined;
	/** The reachable hosts of this host's hall, itself included: the ones that take its callers. */
	readonly hallHosts: number;
};

/**
Decides whether a host accepts connections of callers. Pure. One of few hosts always does.

This answers a few callers that send more than one host carries while others have room. A caller whose connection is refused tries another host at
once. A caller whose request is refused has sent its body before, and comes back to this host as long as the balancer counts it as ready; the bodies
of such requests alone can keep the host's link full.
*/
export const isAccepting = ({isOverloaded, openShare, hallHosts}: Inputs): boolean =>
	!isOverloaded || openShare === undefined || hallHosts <= smallHall || openShare * hallHosts < heavyFactor;
