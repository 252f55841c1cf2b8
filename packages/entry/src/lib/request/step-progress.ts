import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {RelayEnd} from '../relaying/relay-end.js';
import type {AttemptEnd} from './attempt-end.js';
import type {RequestProgress} from './request-progress.js';

/** What moves a request on. */
type ProgressEvent =
	| {readonly type: 'sent'; readonly endpoint: ListedEndpoint}
	/** `isOver`: the caller left or the deadline passed, so the endpoint's hall is not to blame. */
	| {readonly type: 'ended'; readonly endpoint: ListedEndpoint; readonly end: AttemptEnd; readonly isOver: boolean}
	/** An answer of 500 or more is not passed on, and the request runs once more. */
	| {readonly type: 'error_dropped'};

const addRelayed = (progress: RequestProgress, relayed: RelayEnd | undefined): RequestProgress => relayed
	? {...progress, events: progress.events + relayed.count, lastEventId: relayed.lastId}
	: progress;

const afterEnd = (progress: RequestProgress, {endpoint, end, isOver}: ProgressEvent & {type: 'ended'}): RequestProgress => {
	switch (end.type) {
		case 'unsent': {
			return {...progress, unsent: progress.unsent + 1, avoidedHalls: isOver ? progress.avoidedHalls : [...progress.avoidedHalls, endpoint.hall]};
		}

		case 'lost': {
			return addRelayed({...progress, arrivals: progress.arrivals + 1, lostRuns: progress.lostRuns + 1}, end.relayed);
		}

		case 'streamed': {
			return addRelayed({...progress, arrivals: progress.arrivals + 1}, end.relayed);
		}

		default: {
			return {...progress, arrivals: progress.arrivals + 1};
		}
	}
};

/** Moves a request's progress on by one event. Pure. */
export const stepProgress = (progress: RequestProgress, event: ProgressEvent): RequestProgress => {
	switch (event.type) {
		case 'sent': {
			return {...progress, tried: [...progress.tried, event.endpoint.id]};
		}

		case 'ended': {
			return afterEnd(progress, event);
		}

		case 'error_dropped': {
			return {...progress, lostRuns: progress.lostRuns + 1};
		}
	}
};
