import {isDeepStrictEqual} from 'node:util';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {FleetConfig} from '../../config/fleet-config.js';
import {endpointsInUse} from './endpoints-in-use.js';

/** What the platform lists, and what of it is in use. */
type EndpointListing = {
	/** Takes in a list of the platform. */
	readonly list: (endpoints: readonly ListedEndpoint[]) => void;
	/** Looks again at what is listed, by the configuration that came into force. */
	readonly review: () => void;
	/** Whether a list ever came. */
	readonly isKnown: () => boolean;
};

type Options = {
	readonly config: () => FleetConfig | undefined;
	/** Called with the endpoints in use when these may have changed, and with how many listed ones are not. */
	readonly onUsed: (used: readonly ListedEndpoint[], unused: number) => void;
};

/** Creates a listing that knows no endpoint. */
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
		isKnown: () => listed !== undefined,
	};
};
