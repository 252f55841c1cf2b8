import type {EngineOptions} from '@deckwheel/stand-ins';

/** How a fleet is set up. */
export type FleetOptions = {
	/** Number of hosts by hall. */
	readonly halls: Readonly<Record<string, number>>;
	readonly engine?: EngineOptions;
	/** Engines of each hall, in place of one that is set up by `engine`. */
	readonly engines?: readonly EngineOptions[];
	/** Prepaid tokens of the budget. */
	readonly tokens?: number;
	/** Changes to each daemon's settings. */
	readonly settings?: Record<string, unknown>;
	readonly limits?: Record<string, unknown>;
	/** Puts a relay in front of each host's address for peers, so that halls can be cut off. Meant for one host a hall. */
	readonly hasRelays?: boolean;
};
