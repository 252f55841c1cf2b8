import type {FleetConfig} from './config/fleet-config.js';
import type {StoreChanges} from './adapter/store-changes.js';
import type {ListedEndpoint} from './adapter/listed-endpoint.js';

/** A running entry host. */
export type EntryHost = {
	/** Where it listens, as `ip:port`: the ports taken, where the options left them open. */
	readonly addresses: {readonly callers: string; readonly ready: string};
	/** Change notifications between hosts: the adapter asks them before it calls the store, and tells them what it saw. */
	readonly storeChanges: StoreChanges;
	/** Takes a configuration into force, unless a newer one is. */
	readonly configure: (config: FleetConfig) => void;
	/** Replaces the list of endpoints. */
	readonly listEndpoints: (endpoints: readonly ListedEndpoint[]) => void;
	/** Replaces the halls whose endpoints are to get nothing more. What runs there may end. */
	readonly evacuateHalls: (halls: ReadonlySet<string>) => void;
	/** Notes that the platform's store came back from an older copy: what was written there last may be gone. */
	readonly storeRestored: () => void;
	/** Ends as planned: sends on nothing that may outlast the stop, finishes what runs, gives rights back. A second call waits for the first. */
	readonly stop: () => Promise<void>;
	/** Ends at once, as a death of the process would: nothing is finished or given back. */
	readonly kill: () => Promise<void>;
};
