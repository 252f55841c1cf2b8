import {coldRequestIntervalMs} from './cold-request-interval-ms.js';
import type {EndpointExclusion} from './endpoint-exclusion.js';
import type {EndpointRequest} from './endpoint-request.js';
import type {EndpointState} from './endpoint-state.js';
import {versionOf} from './version-of.js';
import {warmAt} from './warm-at.js';

/** The part of a request that decides which endpoints are excluded for it. `chooseEndpoint` itself leaves out those in `tried`. */
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

// After an ejection ends, only one request at a time probes the endpoint, until one succeeds.
const isBeingProbed = ({failures, ejectedUntil, inFlight}: EndpointState): boolean => failures > 0 && ejectedUntil > 0 && inFlight > 0;

/**
Tells why an endpoint must not be sent a request, or returns `undefined` where it may be sent one. Pure.

First attempts, retries and resumed streams all depend on it, by way of `chooseEndpoint`. Reasons that time alone does not end
are checked first, so `until` is set only where waiting is enough.

@param now Monotonic ms.
*/
export const findExclusion = (state: EndpointState, request: ExclusionRequest, now: number): EndpointExclusion | undefined => {
	const {info, isListed, ejectedUntil, backoffUntil, rateLimitedUntil, endedUntil} = state;
	if (!isListed) {
		return {reason: 'unlisted'};
	}

	if (!info.serves.includes(request.target)) {
		return {reason: 'other_service'};
	}

	if (request.version !== undefined && versionOf(info) !== request.version) {
		return {reason: 'other_version'};
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

	// Checked last, because `chooseEndpoint` uses endpoints that only this excludes as a last resort.
	return findColdExclusion(state, request.warmup, now) ?? (endedUntil > now ? {reason: 'ended', until: endedUntil} : undefined);
};
