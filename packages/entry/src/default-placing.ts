import type {PlacingSettings} from './adapter/placing-settings.js';

/** The settings of placing that apply where operators state none. */
export const defaultPlacing: PlacingSettings = {
	byExpectedTime: true, randomEndpoints: 4, prefixEndpoints: 4, sendUrgency: true,
};
