import type {FleetConfig} from './config/fleet-config.js';
import type {StoreChanges} from './adapter/store-changes.js';
import type {ListedEndpoint} from './adapter/listed-endpoint.js';

/** A running entry host. */
export type EntryHost = {
	/**
	The addresses at which the host listens for callers and for readiness checks, as `ip:port`. Port 0 of the options is replaced by
	the port that the system picked.
	*/
	readonly addresses: {readonly callers: string; readonly ready: string};
	/** Change notifications between hosts. The adapter waits for them before it calls the store, and publishes what it saw in the store. */
	readonly storeChanges: StoreChanges;
	/** Puts a configuration into force, unless the one in force has the same or a later version. */
	readonly configure: (config: FleetConfig) => void;
	/**
	Notes that the configuration in force was the newest one at the instant `at`, in elapsed ms. Where the bounds state `configApplyMs` and
	this was longer ago, the host refuses nothing as that configuration says, since a newer one may allow it.
	*/
	readonly configConfirmed: (at: number) => void;
	/**
	Notes when a peer last told of a newer configuration that this host has not read, in elapsed ms; `undefined` once it has read all. Where the
	bounds state `configApplyMs`, the host does not serve by a configuration that is known to be outdated and was last confirmed longer ago.
	*/
	readonly configUnread: (heardAt: number | undefined) => void;
	/** Replaces the list of endpoints that the platform lists. */
	readonly listEndpoints: (endpoints: readonly ListedEndpoint[]) => void;
	/** Notes that the list has all changes that the platform made before the instant `at`, in elapsed ms. */
	readonly endpointsConfirmed: (at: number) => void;
	/** Replaces the set of evacuated halls. Their endpoints get no new requests; requests that already run there may finish. */
	readonly evacuateHalls: (halls: ReadonlySet<string>) => void;
	/** Notes that the platform's store was restored from an older copy, so that its latest writes may be lost. */
	readonly storeRestored: () => void;
	/**
	Shuts the host down as planned: forwards no request that may outlast the shutdown, finishes open requests, and gives rights back.
	A second call waits for the first.

	@param sentAfter The earliest instant at which the platform may have sent the signal to stop, in monotonic ms. By default now.
	*/
	readonly stop: (sentAfter?: number) => Promise<void>;
	/** Ends the host at once, as a crash of its process would: no request is finished and no rights are given back. */
	readonly kill: () => Promise<void>;
};
