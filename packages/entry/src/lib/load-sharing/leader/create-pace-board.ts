import {
	relativePaces, stepPaceWindow, typicalMs, type PaceWindow,
} from '@deckwheel/routing';
import type {EndpointIndex} from '../wire/endpoint-index.js';
import type {PaceSample} from '../wire/pace-sample.js';

/** For how long computed paces are used, in ms: they change slowly, and every host of a hall asks for them. */
const recomputeIntervalMs = 1000;

/** Learns the paces of the listed endpoints from the samples of all hosts. */
type PaceBoard = {
	/** Replaces the listed endpoints, and forgets the others. */
	readonly list: (index: EndpointIndex) => void;
	/** Adds samples. Those of endpoints that are not listed are dropped. */
	readonly note: (samples: readonly PaceSample[]) => void;
	/** The known paces by the hash of the endpoint. */
	readonly paces: () => ReadonlyMap<number, number>;
};

type Measured = {readonly endpoint: number; readonly kind: PaceSample['kind']; readonly window: PaceWindow};

const keyOf = ({endpoint, kind}: Pick<PaceSample, 'endpoint' | 'kind'>): string => `${endpoint} ${kind}`;

/**
Creates a board without endpoints.

@param now Monotonic ms.
*/
export const createPaceBoard = (now: () => number): PaceBoard => {
	const measured = new Map<string, Measured>();
	let servicesOf: EndpointIndex['servicesOf'] = new Map();
	let paces: ReadonlyMap<number, number> = new Map();
	let computedAt = Number.NEGATIVE_INFINITY;

	const compute = (): ReadonlyMap<number, number> => {
		const known = [...measured.values()].flatMap(({endpoint, kind, window}) => {
			const ms = typicalMs(window, now());
			return ms === undefined ? [] : [{endpoint, kind, ms}];
		});
		// Events tell more than durations, which depend on the length of the response: they replace the durations of an endpoint that has both.
		return new Map((['response', 'event'] as const).flatMap(kind =>
			[...relativePaces(known.filter(entry => entry.kind === kind).map(({endpoint, ms}) => ({endpoint, group: servicesOf.get(endpoint)!, ms})))]));
	};

	return {
		list(index) {
			servicesOf = index.servicesOf;
			for (const [key, {endpoint}] of measured) {
				if (!servicesOf.has(endpoint)) {
					measured.delete(key);
				}
			}
		},
		note(samples) {
			for (const {endpoint, kind, ms} of samples) {
				if (servicesOf.has(endpoint)) {
					const key = keyOf({endpoint, kind});
					measured.set(key, {endpoint, kind, window: stepPaceWindow(measured.get(key)?.window, ms, now())});
				}
			}
		},
		paces() {
			if (now() - computedAt >= recomputeIntervalMs) {
				computedAt = now();
				paces = compute();
			}

			return paces;
		},
	};
};
