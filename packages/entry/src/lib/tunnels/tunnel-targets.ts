import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';

/** The endpoints to which this host opened tunnels, by their tickets: an endpoint may go on serving after it has left the list. */
export type TunnelTargets = {
	readonly note: (ticket: string, endpoint: ListedEndpoint) => void;
	/** The endpoint as it was listed when the tunnel was opened; `undefined` for a ticket that is not known, or not any more. */
	readonly get: (ticket: string) => ListedEndpoint | undefined;
};
