import type {PathEvent} from './path-event.js';
import type {PathState} from './path-state.js';

/**
A group with open attempts at several endpoints is probed when no byte has come from any of them for longer than this, in ms. It is longer than the
time in which endpoints that keep up send something, and short enough that callers are served again within a second and a half.
*/
const silenceMs = 500;

/** The same where attempts are open at one endpoint only, in ms: that one is more often slow than out of reach. */
const singleSilenceMs = 1000;

/**
Endpoints that are lost in a row, with none reached in between, before the others count as lost as well. One may be lost on its own; with
more, each request would try and lose one more endpoint.
*/
const lostBeforeAll = 2;

/** A lost group is probed again this long after its last probe, in ms; at once if that reached an endpoint, since the links are probably back then. */
const lostProbePauseMs = 400;

/** A silent group whose probe did not show that it is lost is not probed again for this long, in ms, so that slow endpoints are left alone. */
const reachedProbePauseMs = 1000;

type Step = {
	readonly state: PathState;
	/** Whether the group is to be probed now. */
	readonly isProbeDue: boolean;
	/** Whether the open connections to the group were found silent by this event, so that requests are to leave them. */
	readonly isSilenceFound: boolean;
};

const isDoubtful = ({lost, isAllLost}: PathState): boolean => isAllLost || lost.size > 0;

const tick = (state: PathState, {oldestSentAt, endpointCount}: PathEvent & {type: 'ticked'}, now: number): Step => {
	const patienceMs = endpointCount > 1 ? silenceMs : singleSilenceMs;
	const isQuiet = oldestSentAt !== undefined && now - Math.max(state.heardAt, oldestSentAt) > patienceMs;
	const isSilenceFound = isQuiet && state.isAllLost && !state.isSilent;
	const isProbeDue = (isDoubtful(state) || isQuiet) && !state.isProbing && now >= state.nextProbeAt;
	return {
		state: {...state, isSilent: state.isSilent || isSilenceFound, isProbing: state.isProbing || isProbeDue},
		isProbeDue,
		isSilenceFound,
	};
};

const withoutEndpoint = (lost: ReadonlySet<string>, endpoint: string): ReadonlySet<string> => {
	const remaining = new Set(lost);
	remaining.delete(endpoint);
	return remaining;
};

const afterEvent = (state: PathState, event: Exclude<PathEvent, {type: 'ticked'}>, now: number): PathState => {
	switch (event.type) {
		case 'listed': {
			return {...state, lost: new Set([...state.lost].filter(endpoint => event.endpoints.has(endpoint)))};
		}

		case 'heard': {
			return {...state, heardAt: now, isSilent: false};
		}

		case 'connected': {
			const lost = withoutEndpoint(state.lost, event.endpoint);
			return {
				...state, lost, lostInARow: 0, isAllLost: false, nextProbeAt: state.isAllLost ? now : state.nextProbeAt,
			};
		}

		case 'lost': {
			const lostInARow = state.lost.has(event.endpoint) ? state.lostInARow : state.lostInARow + 1;
			return {
				...state, lost: new Set([...state.lost, event.endpoint]), lostInARow, isAllLost: state.isAllLost || lostInARow >= lostBeforeAll,
			};
		}

		case 'silence_confirmed': {
			return {...state, lost: new Set([...state.lost, event.endpoint]), isAllLost: true};
		}

		case 'probe_ended': {
			const pauseMs = isDoubtful(state) ? lostProbePauseMs : reachedProbePauseMs;
			return {...state, isProbing: false, nextProbeAt: event.hasConnected && isDoubtful(state) ? now : now + pauseMs};
		}
	}
};

/**
Updates what a host knows of its own links to a group of endpoints by one event. Pure.

A connection that fails says nothing by itself: the endpoint may be dead. That a peer reaches the endpoint at the same moment shows that the
host's own links are cut. A host reaches an endpoint again by itself from its next connection there that comes up.

@param now Monotonic ms.
*/
export const stepPath = (state: PathState, event: PathEvent, now: number): Step => event.type === 'ticked'
	? tick(state, event, now)
	: {state: afterEvent(state, event, now), isProbeDue: false, isSilenceFound: false};
