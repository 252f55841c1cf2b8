import {versionOf} from '@deckwheel/routing';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import {takeUpMs} from '../stream-origins/take-up-ms.js';
import type {StreamOrigins} from '../stream-origins/stream-origins.js';
import {attemptsBeforeTakeUp} from './attempts-before-take-up.js';
import type {RequestProgress} from './request-progress.js';
import type {StreamPlan} from './stream-plan.js';

/** Ties the attempts of one request to the software version that began its stream. */
type StreamRecord = {
	/** The service of the endpoints that the request may be sent to. */
	readonly service: string;
	/** The version of the endpoints that the request may be sent to; `undefined` where any will do. */
	readonly requiredVersion: (progress: Pick<RequestProgress, 'begunBy'>) => string | undefined;
	/** The version of the endpoints that the request is best sent to; `undefined` where any will do. */
	readonly preferredVersion: (progress: Pick<RequestProgress, 'begunBy'>) => string | undefined;
	/** Notes the request's `attempt`th attempt, which is sent to an endpoint. Resolves as `noteSent` of `StreamOrigins` does. */
	readonly noteSent: (endpoint: ListedEndpoint, attempt: number) => Promise<void>;
	/** Notes that the caller has the whole stream. */
	readonly noteWhole: () => void;
};

/**
Creates the record of one request.

@param deadline The deadline of the request, in monotonic ms.
*/
export const createStreamRecord = (plan: StreamPlan, deadline: number, origins: Pick<StreamOrigins, 'noteSent' | 'noteWhole' | 'preferredVersion'>): StreamRecord => {
	const resumed = plan.type === 'resumed' ? plan.origin : undefined;
	const service = plan.type === 'resumed' ? plan.origin.service : plan.service;
	const key = plan.type === 'unknown' || plan.type === 'unreadable' ? undefined : plan.key;
	const requiredVersion: StreamRecord['requiredVersion'] = ({begunBy}) => begunBy ? versionOf(begunBy) : resumed?.version;
	const attemptsBefore = resumed?.attempt ?? (plan.found === undefined ? 0 : attemptsBeforeTakeUp);
	return {
		service,
		requiredVersion,
		preferredVersion: progress => requiredVersion(progress) ?? (key === undefined ? undefined : origins.preferredVersion(service)),
		async noteSent(endpoint, attempt) {
			if (key !== undefined) {
				const origin = {service, version: versionOf(endpoint), attempt: attemptsBefore + attempt};
				await origins.noteSent({
					key, origin, keepUntil: deadline + takeUpMs, isTakeUp: plan.found !== undefined,
				});
			}
		},
		noteWhole() {
			if (key !== undefined) {
				origins.noteWhole(key);
			}
		},
	};
};
