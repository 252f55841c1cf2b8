import {hash32} from '@deckwheel/core';
import {remainingPromptTokens} from '@deckwheel/routing';
import type {PaceSample} from '../wire/pace-sample.js';
import {promptUnitTokens} from '../wire/prompt-unit-tokens.js';
import {createRunTimer} from './create-run-timer.js';
import type {OthersLoad} from './others-load.js';
import type {SharedLoadTracker} from './shared-load-tracker.js';

type Options = {
	/** Called with what the end of a request told of an endpoint's speed. */
	readonly onSample: (sample: PaceSample) => void;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** The load of one endpoint by one host, or by all others together. */
type Load = OthersLoad;

const noLoad: Load = {open: 0, pendingPromptTokens: 0};

/** Creates a tracker without open requests. It counts the requests of this host only until it is given the load of others. */
export const createLoadTracker = ({onSample, now}: Options): SharedLoadTracker => {
	const own = new Map<string, Load>();
	let others: ReadonlyMap<string, OthersLoad> = new Map();
	let othersAsOf: number | undefined;
	let paces: ReadonlyMap<string, number> = new Map();

	const add = (endpoint: string, runs: number, promptTokens: number): void => {
		const load = own.get(endpoint) ?? noLoad;
		const open = load.open + runs;
		if (open === 0) {
			own.delete(endpoint);
		} else {
			own.set(endpoint, {open, pendingPromptTokens: load.pendingPromptTokens + promptTokens});
		}
	};

	const sumOpen = (loads: ReadonlyMap<string, Load>): number => {
		let sum = 0;
		for (const {open} of loads.values()) {
			sum += open;
		}

		return sum;
	};

	return {
		loadOf(endpoint) {
			const ownLoad = own.get(endpoint) ?? noLoad;
			const othersLoad = others.get(endpoint) ?? noLoad;
			const pace = paces.get(endpoint) ?? 1;
			const ageMs = othersAsOf === undefined ? undefined : now() - othersAsOf;
			return {
				open: ownLoad.open + othersLoad.open,
				pendingPromptTokens: ownLoad.pendingPromptTokens + remainingPromptTokens({tokens: othersLoad.pendingPromptTokens, ageMs: ageMs ?? 0, pace}),
				pace,
				ageMs,
			};
		},
		openShare() {
			const ownOpen = sumOpen(own);
			return othersAsOf === undefined || ownOpen === 0 ? undefined : ownOpen / (ownOpen + sumOpen(others));
		},
		noteSent(endpoint, promptTokens) {
			const timer = createRunTimer(now);
			let pendingTokens = promptTokens;
			let isOpen = true;
			add(endpoint, 1, promptTokens);
			return {
				noteEvent() {
					timer.noteEvent();
					if (isOpen && pendingTokens > 0) {
						add(endpoint, 0, -pendingTokens);
						pendingTokens = 0;
					}
				},
				end(how) {
					if (!isOpen) {
						return;
					}

					isOpen = false;
					add(endpoint, -1, -pendingTokens);
					const sample = timer.end(how);
					if (sample) {
						onSample({endpoint: hash32(endpoint), ...sample});
					}
				},
			};
		},
		ownRows: () => [...own].map(([endpoint, {open, pendingPromptTokens}]) => ({
			endpoint: hash32(endpoint), open, promptUnits: Math.round(pendingPromptTokens / promptUnitTokens),
		})),
		setOthers(next, asOf) {
			others = next;
			othersAsOf = asOf;
		},
		forgetOthers() {
			others = new Map();
			othersAsOf = undefined;
		},
		setPaces(next) {
			paces = next;
		},
	};
};
