import {borrowAheadSeconds} from './borrow-ahead-seconds.js';

/** A host with steady demand keeps at most this many seconds of its own demand: twice what it borrows ahead, so that it does not hand back what it has just borrowed. */
const maxKeptSeconds = 3;

type Inputs = {
	/** The host's own demand, in tokens a second. */
	readonly rate: number;
	/** Tokens that the waiting requests need, or that the last request needed. */
	readonly tokens: number;
};

/**
Decides how many tokens a host that does not draw for its hall keeps for its next requests; 0 unless its demand is steady. Pure.

What the host has beyond that it hands back. So it must not draw more for itself either: otherwise it would draw and hand back in turn, until its
allocator has all that the store had.
*/
export const keptTokens = ({rate, tokens}: Inputs): number => tokens > 0 && rate * borrowAheadSeconds >= tokens ? rate * maxKeptSeconds : 0;
