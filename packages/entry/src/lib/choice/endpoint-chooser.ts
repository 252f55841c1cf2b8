import type {EndpointExclusion, EndpointEvent} from '@deckwheel/routing';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {ChoiceRequest} from './choice-request.js';
import type {ChosenEndpoint} from './chosen-endpoint.js';

/** Chooses endpoints, and learns from what became of requests. */
export type EndpointChooser = {
	readonly list: (endpoints: readonly ListedEndpoint[]) => void;
	/** Replaces the halls whose endpoints are to get nothing. */
	readonly evacuate: (halls: ReadonlySet<string>) => void;
	readonly choose: (request: ChoiceRequest) => ChosenEndpoint | undefined;
	/** Why no endpoint of a service is open now, where time or an order of the operators will open one; else `undefined`. */
	readonly exclusionOfAll: (request: Pick<ChoiceRequest, 'service' | 'regions'>) => EndpointExclusion | undefined;
	/** Notes that a request is sent to an endpoint, which reads its prompt. */
	readonly noteStarted: (endpoint: string, parts: ChoiceRequest['parts']) => void;
	/** Takes in what was learnt of one endpoint. */
	readonly note: (event: Exclude<EndpointEvent, {type: 'configured' | 'started'}>) => void;
};
