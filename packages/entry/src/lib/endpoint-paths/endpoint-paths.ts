import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {OpenAttempt} from '../hall-health/open-attempt.js';

/** Detects which endpoints this host does not reach by its own links, while its peers reach them. */
export type EndpointPaths = {
	/** Replaces the list of the endpoints that the host uses. */
	readonly list: (endpoints: readonly ListedEndpoint[]) => void;
	/** Whether a connection to an endpoint is to go through a peer first. */
	readonly isLost: (endpoint: ListedEndpoint) => boolean;
	/** Notes that a connection of this host to an endpoint came up. */
	readonly noteConnected: (endpoint: ListedEndpoint) => void;
	/** Notes that a connection of this host to an endpoint failed, and that a peer reached the endpoint. */
	readonly noteLost: (endpoint: ListedEndpoint) => void;
	/** Notes that bytes came from an endpoint over a connection of this host. */
	readonly noteHeard: (endpoint: ListedEndpoint) => void;
	/** Notes that an attempt has a connection of this host. Returns the function that notes its end. */
	readonly noteAttempt: (attempt: OpenAttempt) => () => void;
	readonly close: () => void;
};
