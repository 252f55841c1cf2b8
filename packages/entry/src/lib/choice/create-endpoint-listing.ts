import {isDeepStrictEqual} from 'node:util';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {FleetConfig} from '../../config/fleet-config.js';
import {endpointsInUse} from './endpoints-in-use.js';

/** The endpoints that the platform lists, and those of them that are in use (`endpointsInUse`). */
type EndpointListing = {
	/** Replaces the listed endpoints by a new list of the platform. */
	readonly list: (endpoints: readonly ListedEndpoint[]) => void;
	/** Determines again which listed endpoints are in use, after a new configuration came into force. */
	readonly review: () => void;
	/** The endpoint with this id, if it is in use. */
	readonly inUse: (id: string) => ListedEndpoint | undefined;
	/** Whether the platform has sent a list yet. */
	readonly isKnown: () => boolean;
};

type Options = {
	/** The configuration in force; `undefined` before the first one. */
	readonly config: () => FleetConfig | undefined;
	/** Called after each list, and when a configuration changed the endpoints in use, with these and the number of listed ones not in use. */
	readonly onUsed: (used: readonly ListedEndpoint[], unused: number) => void;
};

/** Creates a listing without endpoints. */
export const createEndpointListing = ({config, onUsed}: Options): EndpointListing => {
	let listed: readonly ListedEndpoint[] | undefined;
	let used: readonly ListedEndpoint[] = [];

	const setUsed = (all: readonly ListedEndpoint[], next: readonly ListedEndpoint[]): void => {
		used = next;
		onUsed(used, all.length - used.length);
	};

	return {
		list(endpoints) {
			listed = endpoints;
			setUsed(listed, endpointsInUse(listed, config()));
		},
		review() {
			const next = listed && endpointsInUse(listed, config());
			if (listed && next && !isDeepStrictEqual(next, used)) {
				setUsed(listed, next);
			}
		},
		inUse: id => used.find(endpoint => endpoint.id === id),
		isKnown: () => listed !== undefined,
	};
};
