import type {CallerLimits} from './caller-limits.js';
import type {Organisation} from './organisation.js';
import type {Route} from './route.js';
import type {Service} from './service.js';

/** One complete version of the fleet's configuration. */
export type FleetConfig = {
	/** Rises with every change, not necessarily by 1. */
	readonly version: number;
	readonly routes: readonly Route[];
	/** Services by name. */
	readonly services: ReadonlyMap<string, Service>;
	/** Organisations by API key. */
	readonly organisationsByKey: ReadonlyMap<string, Organisation>;
	/** Whether the configuration has a list of organisations, possibly an empty one. Without a list, no request needs an API key. */
	readonly hasOrganisations: boolean;
	readonly limits: CallerLimits;
};
