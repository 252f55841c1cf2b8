import {smallHall} from '../peers/small-hall.js';

/**
The multiple of an equal share of one hall's hosts, of the requests open at the endpoints of all halls, from which on a host has far more than
others. Below it, most hosts are as busy, and callers that it does not accept would find no better one.
*/
const heavyFactor = 2;

/** The multiple below which the host accepts again. It is lower, since the share falls as soon as no connections are accepted. */
const calmFactor = 1;

type Inputs = {
	/** Whether the host accepts connections now. */
	readonly wasAccepting: boolean;
	/** Whether this host cannot keep up. */
	readonly isOverloaded: boolean;
	/** This host's share of the requests that are open at endpoints, over all hosts, 0 to 1; `undefined` where that is not known. */
	readonly openShare: number | undefined;
	/** The reachable hosts of this host's hall, itself included: the ones that take its callers. */
	readonly hallHosts: number;
};

/**
Decides whether a host accepts connections of callers. Pure. One of few hosts always does. An overloaded host that lost sight of the others' load goes
on as before.

This answers a few callers that send more than one host carries while others have room. A caller whose request is refused has sent its body before,
and comes back to this host as long as the balancer counts it as ready; the bodies of such requests alone can keep the host's link full.
*/
export const isAccepting = ({wasAccepting, isOverloaded, openShare, hallHosts}: Inputs): boolean => {
	if (!isOverloaded || hallHosts <= smallHall) {
		return true;
	}

	return openShare === undefined ? wasAccepting : openShare * hallHosts < (wasAccepting ? heavyFactor : calmFactor);
};
