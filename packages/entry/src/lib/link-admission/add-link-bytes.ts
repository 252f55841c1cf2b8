import type {DirectionLoad} from './direction-load.js';
import type {LinkBytes} from './link-bytes.js';
import type {LinkLoad} from './link-load.js';
import {rateTimeConstantMs} from './rate-time-constant-ms.js';

/**
The longest backlog that is counted, in ms. Bodies of refused requests arrive whether or not the link has room; without a bound, a burst of them
would have requests refused long after the link has carried them.
*/
const maxBacklogMs = 1000;

const limitBacklog = (backlogMs: number): number => Math.min(Math.max(0, backlogMs), maxBacklogMs);

const addToDirection = ({backlogMs, urgentBacklogMs, bytesPerMs}: DirectionLoad, bytes: number, linkBytesPerMs: number): DirectionLoad => ({
	backlogMs: limitBacklog(backlogMs + (bytes / linkBytesPerMs)),
	urgentBacklogMs: limitBacklog(urgentBacklogMs + (bytes / linkBytesPerMs)),
	bytesPerMs: Math.max(0, bytesPerMs + (bytes / rateTimeConstantMs)),
});

/** Adds bytes to the load of a link; negative ones correct what was expected before. Pure. */
export const addLinkBytes = (load: LinkLoad, {inBytes, outBytes}: LinkBytes, linkBytesPerMs: number): LinkLoad => ({
	...load,
	in: addToDirection(load.in, inBytes, linkBytesPerMs),
	out: addToDirection(load.out, outBytes, linkBytesPerMs),
});
