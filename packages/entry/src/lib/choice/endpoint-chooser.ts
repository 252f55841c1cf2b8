import type {EndpointExclusion, EndpointEvent} from '@deckwheel/routing';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {ChoiceRequest} from './choice-request.js';
import type {ChosenEndpoint} from './chosen-endpoint.js';

/** Chooses endpoints for requests, by what this host knows of the endpoints and of the outcomes of its requests there. */
export type EndpointChooser = {
	/** Replaces the endpoints that can be chosen. */
	readonly list: (endpoints: readonly ListedEndpoint[]) => void;
	/** Replaces the evacuated halls, whose endpoints get no requests. */
	readonly evacuate: (halls: ReadonlySet<string>) => void;
	/** Chooses an endpoint for an attempt of a request; `undefined` where none can serve it. */
	readonly choose: (request: ChoiceRequest) => ChosenEndpoint | undefined;
	/**
	Tells why all endpoints of a service (and a version) are excluded now, where the passing of time or an order of the operators will end that;
	`undefined` otherwise.
	*/
	readonly exclusionOfAll: (request: Pick<ChoiceRequest, 'service' | 'version' | 'regions'>) => EndpointExclusion | undefined;
	/** Whether an endpoint is open to a request now. */
	readonly isOpen: (request: Pick<ChoiceRequest, 'service' | 'version' | 'regions' | 'tried'>) => boolean;
	/** Counts the endpoints of a service that are excluded now, by the reason. */
	readonly countExclusions: (request: Pick<ChoiceRequest, 'service' | 'version' | 'regions'>) => ReadonlyMap<EndpointExclusion['reason'], number>;
	/** Notes that a request is sent to an endpoint, which will have the parts of the request's prompt in its cache. */
	readonly noteStarted: (endpoint: string, parts: ChoiceRequest['parts']) => void;
	/** Notes how long an endpoint took to serve a request, in ms. */
	readonly noteServed: (endpoint: string, durationMs: number) => void;
	/** Applies an event of one endpoint, such as the outcome of a request there. */
	readonly note: (event: Exclude<EndpointEvent, {type: 'configured' | 'started'}>) => void;
};
