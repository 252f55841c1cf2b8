import type {ConfigProof} from './config-proof.js';

/** Knows how well this host knows that its configuration is the newest one. */
export type ConfigMonitor = {
	/** Notes that the configuration in force was the newest one at the instant `at`, in elapsed ms. */
	readonly confirm: (at: number) => void;
	/** Notes when a peer last told of a newer configuration that this host has not read, in elapsed ms; `undefined` once it has read all. */
	readonly noteUnread: (heardAt: number | undefined) => void;
	readonly proof: () => ConfigProof;
	/** Whether this host serves no requests because its configuration is outdated. */
	readonly isOutdated: () => boolean;
};
