import type {Arrival} from './arrival.js';
import type {Scenario} from './scenario.js';

/** What a policy can see of the state of things. */
export type World = {
	readonly scenario: Scenario;
	/** All arrivals. Only the oracle may look ahead. */
	readonly arrivals: readonly Arrival[];
	/** Each budget's limit. */
	readonly limits: ReadonlyMap<string, number>;
	readonly now: () => number;
	readonly reachesStore: () => boolean;
	readonly reachesHalls: () => boolean;
};
