import type {Identity} from './identity.js';

/** What a host does with what its peers send. Bodies are unchecked: the handlers check them. */
export type MeshHandlers = {
	readonly onRequest: (from: Identity, body: unknown) => Promise<unknown>;
	readonly onMessage: (from: Identity, body: unknown) => void;
	/** A link that carried nothing any more was replaced, after `quietMs` without a byte: the peer answers on the new one. */
	readonly onLinkReplaced?: (address: string, quietMs: number) => void;
};
