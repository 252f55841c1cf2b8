import type {KeptOrigin} from './kept-origin.js';
import type {WireOrigin} from './wire/wire-origin.js';

/** Turns an origin into the form that is sent to peers. `now` is this host's time in monotonic ms. Pure. */
export const toWireOrigin = ({key, origin, keepUntil, notedAt}: KeptOrigin, now: number): WireOrigin =>
	({
		key, ...origin, keepMs: Math.max(0, keepUntil - now), ageMs: Math.max(0, now - notedAt),
	});
