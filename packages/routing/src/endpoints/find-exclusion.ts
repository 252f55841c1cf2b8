import {coldRequestIntervalMs} from './cold-request-interval-ms.js';
import type {EndpointExclusion} from './endpoint-exclusion.js';
import type {EndpointRequest} from './endpoint-request.js';
import type {EndpointState} from './endpoint-state.js';
import {warmAt} from './warm-at.js';

/** What of a request decides which endpoints are open to it. What it has tried is left to the choice. */
type ExclusionRequest = Omit<EndpointRequest, 'tried'>;

const isInRegions = ({region}: EndpointState['info'], regions: EndpointRequest['regions'] = []): boolean =>
	regions.every(allowed => region !== undefined && allowed.includes(region));

const findColdExclusion = (state: EndpointState, warmup: ExclusionRequest['warmup'], now: number): EndpointExclusion | undefined => {
	const until = warmup ? warmAt(state, warmup) : 0;
	if (!warmup || until <= now) {
		return undefined;
	}

	if (!warmup.isSender(state.info.id)) {
		return {reason: 'cold', until};
	}

	const nextAt = state.lastStartedAt + coldRequestIntervalMs;
	return nextAt <= now ? undefined : {reason: 'cold', until: Math.min(nextAt, until)};
};

// After an ejection, one request at a time probes the endpoint.
const isBeingProbed = ({failures, ejectedUntil, inFlight}: EndpointState): boolean => failures > 0 && ejectedUntil > 0 && inFlight > 0;

/**
Decides whether an endpoint may be sent a request, and if not, why: `undefined` where it may. Pure.

Everything that sends asks this, by way of `chooseEndpoint`: first tries, repeats, and streams that are taken up again. Reasons that
no time mends go first, so `until` is only told where waiting is enough.

@param now Monotonic ms.
*/
export const findExclusion = (state: EndpointState, request: ExclusionRequest, now: number): EndpointExclusion | undefined => {
	const {info, isListed, ejectedUntil, backoffUntil, rateLimitedUntil} = state;
	if (!isListed) {
		return {reason: 'unlisted'};
	}

	if (!info.serves.includes(request.target)) {
		return {reason: 'other_service'};
	}

	if (info.isLeaving) {
		return {reason: 'leaving'};
	}

	if (request.evacuatedHalls?.has(info.hall)) {
		return {reason: 'evacuated'};
	}

	if (!isInRegions(info, request.regions)) {
		return {reason: 'other_region'};
	}

	if (info.hall !== request.hall && request.unreachableHalls?.has(info.hall)) {
		return {reason: 'out_of_reach'};
	}

	if (ejectedUntil > now || isBeingProbed(state)) {
		return {reason: 'ejected'};
	}

	if (backoffUntil > now) {
		return {reason: 'resting', until: backoffUntil};
	}

	if (rateLimitedUntil > now) {
		return {reason: 'limited', until: rateLimitedUntil};
	}

	return findColdExclusion(state, request.warmup, now);
};
