import type {EndpointLoad} from '@deckwheel/routing';
import type {PlacingSettings} from '../../adapter/placing-settings.js';

/** How a host that shares load with others places requests. */
export type Placing = Omit<PlacingSettings, 'byExpectedTime'> & {
	/** Whether this host places requests so now; it uses `scoreByAffinity` otherwise. Asked at each choice. */
	readonly isOn: () => boolean;
	/** Returns the load of an endpoint, over all hosts as far as this host knows it. */
	readonly loadOf: (endpoint: string) => EndpointLoad;
	/** Returns a random number from 0 up to but not including 1. */
	readonly random: () => number;
};
