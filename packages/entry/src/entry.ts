import type {FleetConfig} from './fleet-config.js';
import type {News} from './news.js';
import type {ListedEndpoint} from './listed-endpoint.js';

/** A running entry host. */
export type Entry = {
	/** Where it listens, as `ip:port`: the ports taken, where the options left them open. */
	readonly addresses: {readonly callers: string; readonly ready: string};
	/** Word between hosts about changes in the store. */
	readonly news: News;
	/** Takes a configuration into force, unless a newer one is. */
	readonly configure: (config: FleetConfig) => void;
	/** Replaces the list of endpoints. */
	readonly listEndpoints: (endpoints: readonly ListedEndpoint[]) => void;
	/** Ends as planned: takes nothing new, finishes what runs, gives rights back. */
	readonly stop: () => Promise<void>;
	/** Ends at once, as a death of the process would: nothing is finished or given back. */
	readonly kill: () => Promise<void>;
};
