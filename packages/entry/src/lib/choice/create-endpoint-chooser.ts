import {sampleOf} from '@deckwheel/core';
import {
	chooseAmongCandidates, chooseEndpoint, countExclusions, exclusionOfAll, scoreByAffinity, scoreByExpectedTime, smooth, stepEndpoints,
	type AffinityRequest, type EndpointCandidates, type EndpointLoad, type EndpointTable, type WarmupRules,
} from '@deckwheel/routing';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {PromptPart} from '../admission/prompt-part.js';
import type {ChoiceRequest} from './choice-request.js';
import {createHallsOfServices} from './create-halls-of-services.js';
import {createPrefixCacheEstimate} from './create-prefix-cache-estimate.js';
import {createPrefixHomes} from './create-prefix-homes.js';
import type {EndpointChooser} from './endpoint-chooser.js';
import type {Evacuations} from './evacuations.js';
import type {Placing} from './placing.js';
import {stepEvacuations} from './step-evacuations.js';

type Options = {
	/** The hall of this host. */
	readonly hall: string;
	/** Whether this host cannot reach a hall now. */
	readonly isUnreachable: (hall: string) => boolean;
	/**
	Returns how this host may use the endpoints of a service while they warm up; `undefined` where they are used like warm ones.
	`reopenedAt` is as in `WarmupRules`.
	*/
	readonly warmupRules?: (service: string, reopenedAt: ReadonlyMap<string, number>) => WarmupRules | undefined;
	/** How requests are placed by the load that hosts share; `undefined` on a host that never does so. */
	readonly placing?: Placing;
	/** The clock, in monotonic ms. */
	readonly now: () => number;
};

// The last part of a prompt belongs to its request alone, so the one before is the longest prefix that the prompt shares with others.
// Prompts with the same shared prefix prefer the same endpoints.
const affinityKey = (parts: readonly PromptPart[]): string | undefined => parts.at(-2)?.id;

/** Creates the chooser of a host, which owns the host's table of endpoints. It knows no endpoint until the first `list`. */
export const createEndpointChooser = ({hall, isUnreachable, warmupRules, placing, now}: Options): EndpointChooser => {
	const cacheEstimate = createPrefixCacheEstimate();
	const prefixHomes = createPrefixHomes(now);
	const hallsOfServices = createHallsOfServices(hall);
	/** The smoothed duration of a request that was served, in ms, by service. */
	const typicalResponseMs = new Map<string, number>();
	let listedHalls: readonly string[] = [];
	let table: EndpointTable = new Map();
	let byId: ReadonlyMap<string, ListedEndpoint> = new Map();
	let evacuations: Evacuations = {halls: new Set(), reopenedAt: new Map()};

	const unreachableHalls = (): ReadonlySet<string> => new Set(listedHalls.filter(name => isUnreachable(name)));

	// An endpoint that leaves or is in an evacuated hall gets no new requests, so it must not be the preferred one of any prompt.
	const updatePreferred = (): void => {
		const usable = [...byId.values()].filter(({id}) => {
			const {info} = table.get(id)!;
			return !info.isLeaving && !evacuations.halls.has(info.hall);
		});
		prefixHomes.list(usable);
		hallsOfServices.list(usable);
	};

	const constraintsOf = ({service, version, regions}: Pick<ChoiceRequest, 'service' | 'version' | 'regions'>) => ({
		target: service, version, hall, unreachableHalls: unreachableHalls(), evacuatedHalls: evacuations.halls, regions, warmup: warmupRules?.(service, evacuations.reopenedAt),
	});

	const homesOf = (service: string, part: string | undefined, endpointCount: number) => {
		if (part === undefined) {
			return {homes: [], ranked: []};
		}

		return placing?.isOn() ? prefixHomes.homesOf(service, part, {endpointCount, minRanked: placing.prefixEndpoints, paceOf: id => placing.loadOf(id).pace}) : prefixHomes.firstOf(service, part);
	};

	const chooseByExpectedTime = (by: Placing, request: AffinityRequest, candidates: EndpointCandidates) => {
		const loadOf = (endpoint: string): EndpointLoad => {
			const load = by.loadOf(endpoint);
			prefixHomes.noteOpen(request.target, endpoint, load.open);
			return load;
		};

		return chooseAmongCandidates(table, {...request, loadOf, typicalResponseMs: typicalResponseMs.get(request.target)}, now(), {
			candidates, scoreEndpoint: scoreByExpectedTime, randomCount: by.randomEndpoints, random: by.random,
		});
	};

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
			const endpoints = hallsOfServices.endpointsOf(request.service);
			const {homes, ranked} = homesOf(request.service, key, endpoints.near.length + endpoints.far.length);
			const cachedTokens = (endpoint: string): number => cacheEstimate.cachedTokens(endpoint, parts, homes);
			const promptTokens = parts.reduce((sum, {tokens}) => sum + tokens, 0);
			const affinityRequest = {
				...constraintsOf(request), cachedTokens, promptTokens, avoidedHalls, tried,
			};
			const choice = placing?.isOn()
				? chooseByExpectedTime(placing, affinityRequest, {
					...endpoints,
					favoured: [...sampleOf(ranked, placing.prefixEndpoints, placing.random), ...(key === undefined ? [] : cacheEstimate.endpointsWith(key))],
				})
				: chooseEndpoint(table, affinityRequest, now(), scoreByAffinity);
			if (placing?.isOn() && tried.length === 0) {
				prefixHomes.noteRequest(request.service, key);
			}

			return choice && {
				endpoint: byId.get(choice.endpoint)!, reason: choice.reason, uncachedTokens: Math.max(0, promptTokens - cachedTokens(choice.endpoint)),
			};
		},
		noteStarted(endpoint, parts) {
			cacheEstimate.noteSent(endpoint, parts);
			table = stepEndpoints(table, {type: 'started', endpoint}, now());
		},
		noteServed(endpoint, durationMs) {
			for (const service of table.get(endpoint)?.info.serves ?? []) {
				typicalResponseMs.set(service, smooth(typicalResponseMs.get(service) ?? durationMs, durationMs));
			}
		},
		exclusionOfAll: request => exclusionOfAll(table, constraintsOf(request), now()),
		isOpen({tried, ...request}) {
			const anyPrompt = {
				...constraintsOf(request), cachedTokens: () => 0, promptTokens: 0, avoidedHalls: [], tried,
			};
			return chooseEndpoint(table, anyPrompt, now(), scoreByAffinity) !== undefined;
		},
		countExclusions: request => countExclusions(table, constraintsOf(request), now()),
		note(event) {
			const wasLeaving = table.get(event.endpoint)?.hasAnnouncedLeaving;
			table = stepEndpoints(table, event, now());
			if (event.type === 'leaving' && !wasLeaving) {
				updatePreferred();
			}
		},
	};
};
