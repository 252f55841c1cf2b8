import {fail, type Result} from '@deckwheel/core';
import type {LinkError} from '../link-error.js';

type Settle = (outcome: Result<unknown, LinkError>) => void;

/** The requests of one connection that wait for their replies. */
type PendingRequests = {
	/** Adds a request; `send` gets its id. It ends as `unknown` when no reply came in time. */
	readonly add: (timeoutMs: number, send: (id: number) => void) => Promise<Result<unknown, LinkError>>;
	/** Ends a request. One that is over already is left alone. */
	readonly settle: (id: number, outcome: Result<unknown, LinkError>) => void;
	readonly failAll: (error: LinkError) => void;
};

/** Creates the list of waiting requests, which is empty. */
export const createPendingRequests = (): PendingRequests => {
	const pending = new Map<number, Settle>();
	let nextId = 1;

	const settle = (id: number, outcome: Result<unknown, LinkError>): void => {
		const settleOne = pending.get(id);
		pending.delete(id);
		settleOne?.(outcome);
	};

	return {
		add: async (timeoutMs, send) => new Promise(resolve => {
			const id = nextId++;
			const giveUp = setTimeout(() => {
				settle(id, fail('unknown'));
			}, timeoutMs);
			pending.set(id, outcome => {
				clearTimeout(giveUp);
				resolve(outcome);
			});
			send(id);
		}),
		settle,
		failAll(error) {
			for (const id of pending.keys()) {
				settle(id, fail(error));
			}
		},
	};
};
