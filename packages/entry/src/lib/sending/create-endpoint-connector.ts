import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {Timeouts} from '../../timeouts.js';
import type {EndpointPaths} from '../endpoint-paths/endpoint-paths.js';
import type {TunnelClient} from '../tunnels/tunnel-client.js';
import type {TunnelOutcome} from '../tunnels/tunnel-outcome.js';
import type {Connection} from './connection.js';
import type {Connector} from './connector.js';
import type {DirectConnection} from './direct-connection.js';
import {guardSocket} from './guard-socket.js';

type Options = {
	/** Connects by this host's own links. */
	readonly connect: (address: string) => Promise<DirectConnection>;
	readonly tunnels: Pick<TunnelClient, 'open'>;
	/** A reply of a peer that takes `tunnelMs` or more on the way means that this host's link is full, and then a failed connection tells nothing of the way. */
	readonly timeouts: Pick<Timeouts, 'tunnelMs'>;
	readonly paths: Pick<EndpointPaths, 'isLost' | 'noteConnected' | 'noteLost'>;
	/** Whether this host is too late with its own work to judge others. It then asks no peer, which would add to the load of its link. */
	readonly isOverloaded: () => boolean;
	/** Called with the time that an own connection to an endpoint took, or after which it was given up, in ms. */
	readonly noteConnect: (endpoint: ListedEndpoint, tookMs: number) => void;
	/** Called with the time that a peer's reply took on the way, in ms. */
	readonly notePeerReply: (tookMs: number) => void;
	/** Monotonic ms. */
	readonly now: () => number;
};

const toConnection = ({socket, tunnel}: TunnelOutcome): Connection | undefined => socket && {type: 'open', socket: guardSocket(socket), tunnel};

/**
Creates the connector of a host: by its own links first and through a peer where these fail, or the other way round where the endpoint counts as
lost. Which comes first is a matter of time only: each way is tried where the other fails.

A connection that is given up tells of this host's link only where no peer replies either: the endpoint may be dead, or the way to it cut.
*/
export const createEndpointConnector = ({connect, tunnels, timeouts, paths, isOverloaded, noteConnect, notePeerReply, now}: Options): Connector => {
	const askPeers = async (endpoint: ListedEndpoint): Promise<TunnelOutcome | undefined> => {
		if (isOverloaded()) {
			return undefined;
		}

		const outcome = await tunnels.open(endpoint);
		if (outcome.linkMs !== undefined) {
			notePeerReply(outcome.linkMs);
		}

		return outcome;
	};

	return async endpoint => {
		const firstOutcome = paths.isLost(endpoint) ? await askPeers(endpoint) : undefined;
		const firstConnection = firstOutcome && toConnection(firstOutcome);
		if (firstConnection) {
			return firstConnection;
		}

		const startedAt = now();
		const direct = await connect(endpoint.address);
		const tookMs = now() - startedAt;
		if (direct.type === 'open') {
			paths.noteConnected(endpoint);
			noteConnect(endpoint, tookMs);
			return {...direct, tunnel: undefined};
		}

		const outcome = firstOutcome ?? await askPeers(endpoint);
		if (direct.reason === 'connect_timeout' && (outcome === undefined || outcome.isSilent)) {
			noteConnect(endpoint, tookMs);
		}

		const connection = outcome && toConnection(outcome);
		if (!connection) {
			return direct;
		}

		if (outcome.linkMs !== undefined && outcome.linkMs < timeouts.tunnelMs) {
			paths.noteLost(endpoint);
		}

		return connection;
	};
};
