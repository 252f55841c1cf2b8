import type {EndpointInfo} from '@deckwheel/routing';

/** An endpoint as the platform lists it. `id` names one incarnation of the endpoint: hosts keep all that they remember of an endpoint under it. */
export type ListedEndpoint = EndpointInfo & {
	/** The name by which requests are addressed to the endpoint. Successive incarnations may have the same one. */
	readonly instance: string;
	/** `ip:port`. The platform may give it to an endpoint of another service after this endpoint has shut down. */
	readonly address: string;
};
