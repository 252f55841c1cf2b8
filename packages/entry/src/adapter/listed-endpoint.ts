import type {EndpointInfo} from '@deckwheel/routing';

/** An endpoint as the platform lists it. `id` names one life of its process. */
export type ListedEndpoint = EndpointInfo & {
	/** `ip:port`. It may be given to another service's endpoint once this one has ended. */
	readonly address: string;
};
