import type {Tunnels} from '@deckwheel/mesh';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {DirectConnection} from '../sending/direct-connection.js';

/** What opening connections for peers needs of its host. */
export type TunnelServerOptions = {
	/** The listed endpoint with this id that is in use; `undefined` for any other. */
	readonly endpointOf: (id: string) => ListedEndpoint | undefined;
	/** Whether this host does not reach an endpoint by its own links. */
	readonly isLost: (endpoint: ListedEndpoint) => boolean;
	/** Whether this host takes on no work for others: it is overloaded or stops. */
	readonly isBusy: () => boolean;
	/** Tries to connect to an `ip:port`; true if the connection was accepted. */
	readonly probe: (address: string) => Promise<boolean>;
	/** Whether an endpoint answers a question for its health, or lets it wait. */
	readonly isRunning: (endpoint: ListedEndpoint) => Promise<boolean>;
	/** Connects to an `ip:port` by this host's own links. */
	readonly connect: (address: string) => Promise<DirectConnection>;
	readonly tunnels: () => Tunnels | undefined;
	readonly count: (name: string) => void;
	/** Monotonic ms. */
	readonly now: () => number;
};
