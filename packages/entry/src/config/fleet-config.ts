import type {CallerLimits} from './caller-limits.js';
import type {Organisation} from './organisation.js';
import type {Route} from './route.js';
import type {Service} from './service.js';

/** One version of the fleet's configuration, whole. */
export type FleetConfig = {
	/** Rises with every change, by uneven steps. */
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<string, Service>;
	/** Organisations by API key. */
	readonly organisationsByKey: ReadonlyMap<string, Organisation>;
	/** Whether requests need an API key at all. */
	readonly hasOrganisations: boolean;
	readonly limits: CallerLimits;
};
