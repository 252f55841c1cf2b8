import type {EngineOptions} from '@deckwheel/stand-ins';

/** How a fleet is set up. */
export type FleetOptions = {
	/** Number of hosts by hall. */
	readonly halls: Readonly<Record<string, number>>;
	readonly engine?: EngineOptions;
	/** Prepaid tokens of the budget. */
	readonly tokens?: number;
	/** Changes to each daemon's settings. */
	readonly settings?: Record<string, unknown>;
	readonly limits?: Record<string, unknown>;
};
