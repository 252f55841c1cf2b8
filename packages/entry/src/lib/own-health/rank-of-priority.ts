import type {FleetConfig} from '../../config/fleet-config.js';

/** The priorities of each configuration, the most urgent one first. Ranks are asked for with each request, and a configuration can have hundreds of routes. */
const prioritiesByConfig = new WeakMap<FleetConfig, readonly number[]>();

const prioritiesOf = (config: FleetConfig): readonly number[] => {
	const known = prioritiesByConfig.get(config);
	if (known) {
		return known;
	}

	const priorities = [...new Set(config.routes.map(({priority}) => priority))].sort((one, other) => one - other);
	prioritiesByConfig.set(config, priorities);
	return priorities;
};

/** Returns how many priorities of routes in the configuration are more urgent than `priority`: 0 for the most urgent routes. Pure. */
export const rankOfPriority = (config: FleetConfig, priority: number): number => Math.max(0, prioritiesOf(config).indexOf(priority));
