import type {EndpointInfo} from '@deckwheel/routing';

/** An endpoint as the platform lists it. `id` names one life of its process: all that a host remembers of an endpoint is kept by it. */
export type ListedEndpoint = EndpointInfo & {
	/** The name by which requests are addressed to it; one life after the other may bear it. */
	readonly instance: string;
	/** `ip:port`. It may be given to another service's endpoint once this one has ended. */
	readonly address: string;
};
