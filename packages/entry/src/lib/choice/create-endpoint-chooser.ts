import {
	chooseEndpoint, rateByAffinity, restOfAll, stepEndpoints, type EndpointTable,
} from '@deckwheel/routing';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {PromptPart} from '../admission/prompt-part.js';
import {createPrefixCacheEstimate} from './create-prefix-cache-estimate.js';
import {createPreferredEndpoints} from './create-preferred-endpoints.js';
import type {EndpointChooser} from './endpoint-chooser.js';

// The deepest part that a prompt shares with others decides where it is read.
const affinityKey = (parts: readonly PromptPart[]): string | undefined => parts.at(-2)?.id;

/**
Creates the task that knows the endpoints.

@param hall The host's own.
@param isLost Whether another hall is out of reach.
@param now Monotonic ms.
*/
export const createEndpointChooser = (hall: string, isLost: (hall: string) => boolean, now: () => number): EndpointChooser => {
	const cacheEstimate = createPrefixCacheEstimate();
	const preferredEndpoints = createPreferredEndpoints();
	let halls: readonly string[] = [];
	let table: EndpointTable = new Map();
	let byId: ReadonlyMap<string, ListedEndpoint> = new Map();

	const lostHalls = (): ReadonlySet<string> => new Set(halls.filter(name => isLost(name)));

	// Prompts are not to be read first where no request goes any more.
	const listPreferred = (): void => {
		preferredEndpoints.list([...byId.values()].filter(({id}) => !table.get(id)!.info.isLeaving));
	};

	return {
		list(endpoints) {
			byId = new Map(endpoints.map(endpoint => [endpoint.id, endpoint]));
			table = stepEndpoints(table, {type: 'configured', endpoints}, now());
			halls = [...new Set(endpoints.map(endpoint => endpoint.hall))];
			listPreferred();
		},
		choose(service, parts, tried, avoided) {
			const key = affinityKey(parts);
			const preferred = key === undefined ? undefined : preferredEndpoints.of(service, key);
			const choice = chooseEndpoint(table, {
				target: service,
				hall,
				cachedTokens: endpoint => cacheEstimate.cachedTokens(endpoint, parts, preferred),
				promptTokens: parts.reduce((sum, {tokens}) => sum + tokens, 0),
				lostHalls: lostHalls(),
				avoidedHalls: avoided,
				tried,
			}, now(), rateByAffinity);
			if (!choice) {
				return undefined;
			}

			cacheEstimate.note(choice.endpoint, parts);
			return {endpoint: byId.get(choice.endpoint)!, reason: choice.reason};
		},
		restOfAll: service => restOfAll(table, {target: service, hall, lostHalls: lostHalls()}, now()),
		note(event) {
			const wasLeaving = table.get(event.endpoint)?.hasSaidLeaving;
			table = stepEndpoints(table, event, now());
			if (event.type === 'leaving' && !wasLeaving) {
				listPreferred();
			}
		},
	};
};
