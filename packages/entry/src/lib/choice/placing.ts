import type {EndpointLoad} from '@deckwheel/routing';

/** How a host that shares load with others places requests. */
export type Placing = {
	/** Whether this host places requests so now; it uses `scoreByAffinity` otherwise. Asked at each choice. */
	readonly isOn: () => boolean;
	/** Returns the load of an endpoint, over all hosts as far as this host knows it. */
	readonly loadOf: (endpoint: string) => EndpointLoad;
	/** How many endpoints of the host's own hall are looked at for each request, drawn at random; half as many of other halls. */
	readonly randomEndpoints: number;
	/** How many of the endpoints that are preferred for a prompt's shared part are looked at. */
	readonly prefixEndpoints: number;
	/** Returns a random number from 0 up to but not including 1. */
	readonly random: () => number;
};
