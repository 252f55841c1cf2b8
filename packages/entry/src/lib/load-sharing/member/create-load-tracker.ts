import {hash32} from '@deckwheel/core';
import {remainingPromptTokens} from '@deckwheel/routing';
import type {PaceSample} from '../wire/pace-sample.js';
import {promptUnitTokens} from '../wire/prompt-unit-tokens.js';
import {createRunTimer} from './create-run-timer.js';
import type {OpenLoad} from './open-load.js';
import type {SharedLoadTracker} from './shared-load-tracker.js';

type Options = {
	/** Called with what the end of a request told of an endpoint's speed. */
	readonly onSample: (sample: PaceSample) => void;
	/** Monotonic ms. */
	readonly now: () => number;
};

const noLoad: OpenLoad = {open: 0, pendingPromptTokens: 0};

/** Creates a tracker without open requests. It counts the requests of this host only until it is given the load of others. */
export const createLoadTracker = ({onSample, now}: Options): SharedLoadTracker => {
	const own = new Map<string, OpenLoad>();
	/** The load of other hosts, and when the oldest of their reports was made; `undefined` while it is not known. */
	let others: {readonly loads: ReadonlyMap<string, OpenLoad>; readonly asOf: number} | undefined;
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

	const sumOpen = (loads: ReadonlyMap<string, OpenLoad>): number => {
		let sum = 0;
		for (const {open} of loads.values()) {
			sum += open;
		}

		return sum;
	};

	return {
		loadOf(endpoint) {
			const ownLoad = own.get(endpoint) ?? noLoad;
			const othersLoad = others?.loads.get(endpoint) ?? noLoad;
			const pace = paces.get(endpoint) ?? 1;
			const ageMs = others && now() - others.asOf;
			return {
				open: ownLoad.open + othersLoad.open,
				pendingPromptTokens: ownLoad.pendingPromptTokens + remainingPromptTokens({tokens: othersLoad.pendingPromptTokens, ageMs: ageMs ?? 0, pace}),
				pace,
				ageMs,
			};
		},
		openShare() {
			const ownOpen = sumOpen(own);
			return others && ownOpen > 0 ? ownOpen / (ownOpen + sumOpen(others.loads)) : undefined;
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
		setOthers(loads, asOf) {
			others = {loads, asOf};
		},
		forgetOthers() {
			others = undefined;
		},
		setPaces(next) {
			paces = next;
		},
	};
};
