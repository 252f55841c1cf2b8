import {
	chooseEndpoint, exclusionOfAll, scoreByAffinity, stepEndpoints, type EndpointTable, type WarmupRules,
} from '@deckwheel/routing';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {PromptPart} from '../admission/prompt-part.js';
import type {ChoiceRequest} from './choice-request.js';
import {createPrefixCacheEstimate} from './create-prefix-cache-estimate.js';
import {createPreferredEndpoints} from './create-preferred-endpoints.js';
import type {EndpointChooser} from './endpoint-chooser.js';
import type {Evacuations} from './evacuations.js';
import {stepEvacuations} from './step-evacuations.js';

type Options = {
	/** The host's own. */
	readonly hall: string;
	/** Whether another hall is out of reach. */
	readonly isLost: (hall: string) => boolean;
	/** How endpoints of a service may be used while they warm up. `reopenedAt`: as in `WarmupRules`. */
	readonly warmupRules?: (service: string, reopenedAt: ReadonlyMap<string, number>) => WarmupRules | undefined;
	/** Monotonic ms. */
	readonly now: () => number;
};

// The deepest part that a prompt shares with others decides where it is read.
const affinityKey = (parts: readonly PromptPart[]): string | undefined => parts.at(-2)?.id;

/** Creates the task that knows the endpoints. */
export const createEndpointChooser = ({hall, isLost, warmupRules, now}: Options): EndpointChooser => {
	const cacheEstimate = createPrefixCacheEstimate();
	const preferredEndpoints = createPreferredEndpoints();
	let listedHalls: readonly string[] = [];
	let table: EndpointTable = new Map();
	let byId: ReadonlyMap<string, ListedEndpoint> = new Map();
	let evacuations: Evacuations = {halls: new Set(), reopenedAt: new Map()};

	const unreachableHalls = (): ReadonlySet<string> => new Set(listedHalls.filter(name => isLost(name)));

	// Prompts are not to be read first where no request goes any more.
	const updatePreferred = (): void => {
		preferredEndpoints.list([...byId.values()].filter(({id}) => {
			const {info} = table.get(id)!;
			return !info.isLeaving && !evacuations.halls.has(info.hall);
		}));
	};

	const constraintsOf = ({service, regions}: Pick<ChoiceRequest, 'service' | 'regions'>) => ({
		target: service, hall, unreachableHalls: unreachableHalls(), evacuatedHalls: evacuations.halls, regions, warmup: warmupRules?.(service, evacuations.reopenedAt),
	});

	return {
		list(endpoints) {
			byId = new Map(endpoints.map(endpoint => [endpoint.id, endpoint]));
			table = stepEndpoints(table, {type: 'configured', endpoints}, now());
			listedHalls = [...new Set(endpoints.map(endpoint => endpoint.hall))];
			updatePreferred();
		},
		evacuate(next) {
			evacuations = stepEvacuations(evacuations, next, now());
			updatePreferred();
		},
		choose({parts, tried, avoidedHalls, ...request}) {
			const key = affinityKey(parts);
			const preferred = key === undefined ? undefined : preferredEndpoints.endpointFor(request.service, key);
			const choice = chooseEndpoint(table, {
				...constraintsOf(request),
				cachedTokens: endpoint => cacheEstimate.cachedTokens(endpoint, parts, preferred),
				promptTokens: parts.reduce((sum, {tokens}) => sum + tokens, 0),
				avoidedHalls,
				tried,
			}, now(), scoreByAffinity);
			return choice && {endpoint: byId.get(choice.endpoint)!, reason: choice.reason};
		},
		noteStarted(endpoint, parts) {
			cacheEstimate.noteSent(endpoint, parts);
			table = stepEndpoints(table, {type: 'started', endpoint}, now());
		},
		exclusionOfAll: request => exclusionOfAll(table, constraintsOf(request), now()),
		note(event) {
			const wasLeaving = table.get(event.endpoint)?.hasAnnouncedLeaving;
			table = stepEndpoints(table, event, now());
			if (event.type === 'leaving' && !wasLeaving) {
				updatePreferred();
			}
		},
	};
};
