import type {EndpointLoad} from '@deckwheel/routing';
import type {LoadTracker} from './load-tracker.js';

const idleLoad: EndpointLoad = {
	open: 0, pendingPromptTokens: 0, pace: 1, ageMs: undefined,
};

/** Creates a tracker without open requests, which counts the requests of this host only. */
export const createLoadTracker = (): LoadTracker => {
	const loads = new Map<string, EndpointLoad>();

	const add = (endpoint: string, runs: number, promptTokens: number): void => {
		const {open, pendingPromptTokens, ...rest} = loads.get(endpoint) ?? idleLoad;
		if (open + runs === 0) {
			loads.delete(endpoint);
		} else {
			loads.set(endpoint, {...rest, open: open + runs, pendingPromptTokens: pendingPromptTokens + promptTokens});
		}
	};

	return {
		loadOf: endpoint => loads.get(endpoint) ?? idleLoad,
		noteSent(endpoint, promptTokens) {
			let pendingTokens = promptTokens;
			let isOpen = true;
			add(endpoint, 1, promptTokens);
			return {
				noteEvent() {
					if (isOpen && pendingTokens > 0) {
						add(endpoint, 0, -pendingTokens);
						pendingTokens = 0;
					}
				},
				end() {
					if (isOpen) {
						isOpen = false;
						add(endpoint, -1, -pendingTokens);
					}
				},
			};
		},
	};
};
