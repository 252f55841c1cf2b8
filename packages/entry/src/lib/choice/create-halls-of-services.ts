import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';

/** The endpoints of one service that do not leave, by their identifiers. */
type ServiceEndpoints = {
	/** Those in the hall of this host. */
	readonly near: readonly string[];
	/** Those in other halls. */
	readonly far: readonly string[];
};

type HallsOfServices = {
	/** Replaces the endpoints. */
	readonly list: (endpoints: readonly ListedEndpoint[]) => void;
	/** Returns the endpoints of a service. */
	readonly endpointsOf: (service: string) => ServiceEndpoints;
};

/** Creates an index of listed endpoints by service, split by whether they are in the hall of this host. It is empty before the first `list`. */
export const createHallsOfServices = (hall: string): HallsOfServices => {
	/** Filled for a service when it is first looked up after a list. */
	const endpointsByService = new Map<string, ServiceEndpoints>();
	let endpoints: readonly ListedEndpoint[] = [];

	const find = (service: string): ServiceEndpoints => {
		const staying = endpoints.filter(({serves, isLeaving}) => !isLeaving && serves.includes(service));
		const idsWhere = (isNear: boolean): readonly string[] => staying.filter(endpoint => (endpoint.hall === hall) === isNear).map(({id}) => id);
		return {near: idsWhere(true), far: idsWhere(false)};
	};

	return {
		list(next) {
			endpoints = next;
			endpointsByService.clear();
		},
		endpointsOf(service) {
			const found = endpointsByService.get(service) ?? find(service);
			endpointsByService.set(service, found);
			return found;
		},
	};
};
