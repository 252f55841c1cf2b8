import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {RelayEnd} from '../relaying/relay-end.js';
import type {AttemptEnd} from './attempt-end.js';
import type {RequestProgress} from './request-progress.js';

/** An event that changes the progress of a request. */
type ProgressEvent =
	/** An attempt at the endpoint began. */
	| {readonly type: 'sent'; readonly endpoint: ListedEndpoint}
	/** The attempt ended. `isOver`: the caller has left or the deadline has passed, so the endpoint's hall is not avoided. */
	| {readonly type: 'ended'; readonly endpoint: ListedEndpoint; readonly end: AttemptEnd; readonly isOver: boolean}
	/** A response with a status of 500 or more is dropped, and the request is sent to another endpoint. Its run counts as lost. */
	| {readonly type: 'error_dropped'};

const addRelayedEvents = (progress: RequestProgress, endpoint: ListedEndpoint, relayed: RelayEnd | undefined): RequestProgress => relayed
	? {
		...progress,
		relayedEvents: progress.relayedEvents + relayed.count,
		lastEventId: relayed.lastId,
		begunBy: progress.begunBy ?? (relayed.count > 0 ? endpoint : undefined),
	}
	: progress;

const progressAfterEnd = (progress: RequestProgress, {endpoint, end, isOver}: ProgressEvent & {type: 'ended'}): RequestProgress => {
	switch (end.type) {
		case 'unsent': {
			return {...progress, unsentAttempts: progress.unsentAttempts + 1, avoidedHalls: isOver ? progress.avoidedHalls : [...progress.avoidedHalls, endpoint.hall]};
		}

		case 'misdirected': {
			return {...progress, misdirectedAttempts: progress.misdirectedAttempts + 1};
		}

		case 'lost': {
			const lost = {...progress, arrivals: progress.arrivals + 1, lostRuns: progress.lostRuns + 1};
			return addRelayedEvents(end.isPartRelayed ? {...lost, isPartRelayed: true} : lost, endpoint, end.relayed);
		}

		case 'streamed': {
			return addRelayedEvents({...progress, arrivals: progress.arrivals + 1}, endpoint, end.relayed);
		}

		default: {
			return {...progress, arrivals: progress.arrivals + 1};
		}
	}
};

/** Returns the progress of a request after one event. Pure. */
export const stepProgress = (progress: RequestProgress, event: ProgressEvent): RequestProgress => {
	switch (event.type) {
		case 'sent': {
			return {...progress, tried: [...progress.tried, event.endpoint.id], latest: event.endpoint};
		}

		case 'ended': {
			return progressAfterEnd(progress, event);
		}

		case 'error_dropped': {
			return {...progress, lostRuns: progress.lostRuns + 1};
		}
	}
};
