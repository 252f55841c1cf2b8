import type {HostRefusal} from './host-refusal.js';
import {hostRefusals} from './host-refusals.js';

/**
Refuses a request that lacks rights which are out of reach. Pure.

@param retryAfterSeconds When to retry. A time other than the usual one comes from the length of an outage and has a bound, so returns are
not spread beyond it.
*/
export const refuseForRights = (retryAfterSeconds: number): HostRefusal => {
	const refusal = hostRefusals.rightsUnavailable;
	return {...refusal, retryAfterSeconds, isRoomGradual: retryAfterSeconds === refusal.retryAfterSeconds};
};
