import type {ChoiceRequest} from '../choice/choice-request.js';
import type {HostContext} from '../request/host-context.js';
import type {RequestInputs} from '../request/request-inputs.js';
import {waitForEndpoint} from './wait-for-endpoint.js';
import {waitLimit} from './wait-limit.js';

type Options = {
	readonly request: Pick<RequestInputs, 'admitted' | 'receivedAt'>;
	/** Whether the request is over, or may not be forwarded any more. */
	readonly isOver: () => boolean;
};

/** What the waits of a request need of its host. */
type WaitContext = Pick<HostContext, 'chooser' | 'eventTimeout' | 'schedule' | 'streamOrigins' | 'now'>;

/** The waits of one request for endpoints of the version that began its stream. */
type VersionWait = {
	/** Waits until an endpoint is open to the request again, or the request is over; `false` where neither came in time. A request without a version does not wait. */
	readonly wait: (request: Pick<ChoiceRequest, 'service' | 'version' | 'regions' | 'tried'>) => Promise<boolean>;
	/** Notes that the caller gets events. */
	readonly noteEvents: () => void;
	/** How long the request has waited so far, in ms. */
	readonly waitedMs: () => number;
};

/**
Creates the waits of one request.

A caller that has a part of a stream can do nothing but come back for the rest, which only the version that began it can write. So the request waits for as long
as the caller does, unless the exclusions of all endpoints of the version end at a time that the caller can be told.
*/
export const createVersionWait = ({request, isOver}: Options, host: WaitContext): VersionWait => {
	const {chooser, eventTimeout, streamOrigins, now} = host;
	const {route, deadline} = request.admitted;
	let heardAt = request.receivedAt;
	let waitedMs = 0;

	const isGoneForGood = (service: string, version: string): boolean => {
		const gone = streamOrigins.findGone({service, version});
		return gone !== undefined && gone.retryAt === undefined;
	};

	return {
		async wait(wanted) {
			const {service, version, regions} = wanted;
			const until = waitLimit({
				route, heardAt, deadline, eventTimeout,
			});
			if (version === undefined || until === undefined || chooser.exclusionOfAll({service, version, regions})) {
				return false;
			}

			const startedAt = now();
			const isFound = await waitForEndpoint({request: wanted, until, isVain: () => isOver() || isGoneForGood(service, version)}, host);
			waitedMs += now() - startedAt;
			return isFound || isOver();
		},
		noteEvents() {
			heardAt = now();
		},
		waitedMs: () => waitedMs,
	};
};
