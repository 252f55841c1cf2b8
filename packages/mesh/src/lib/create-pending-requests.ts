import {fail, type Result} from '@deckwheel/core';
import type {LinkError} from '../link-error.js';

type Settle = (outcome: Result<unknown, LinkError>) => void;

/** The requests of one connection that wait for a reply. */
type PendingRequests = {
	/** Adds a request and calls `send` with its id. The request fails with `unknown` when no reply comes within `timeoutMs` ms. */
	readonly add: (timeoutMs: number, send: (id: number) => void) => Promise<Result<unknown, LinkError>>;
	/** Gives a request its outcome. Does nothing when the request has one already. */
	readonly settle: (id: number, outcome: Result<unknown, LinkError>) => void;
	/** Fails all waiting requests. */
	readonly failAll: (error: LinkError) => void;
};

/** Creates an empty set of pending requests. */
export const createPendingRequests = (): PendingRequests => {
	const pending = new Map<number, Settle>();
	let nextId = 1;

	const settle = (id: number, outcome: Result<unknown, LinkError>): void => {
		const settleRequest = pending.get(id);
		pending.delete(id);
		settleRequest?.(outcome);
	};

	return {
		add: async (timeoutMs, send) => new Promise(resolve => {
			const id = nextId++;
			const timer = setTimeout(() => {
				settle(id, fail('unknown'));
			}, timeoutMs);
			pending.set(id, outcome => {
				clearTimeout(timer);
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
