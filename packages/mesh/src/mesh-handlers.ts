import type {Identity} from './identity.js';

/** Handles what peers send to a host. The bodies are not validated: each handler has to validate them. */
export type MeshHandlers = {
	/** Handles a request of a peer; returns the body of the reply. */
	readonly onRequest: (from: Identity, body: unknown) => Promise<unknown>;
	/** Handles a message that gets no reply. */
	readonly onMessage: (from: Identity, body: unknown) => void;
	/** Called when a silent link was replaced by a new one, over which the peer responds. `quietMs`: ms since the last bytes over the old link. */
	readonly onLinkReplaced?: (address: string, quietMs: number) => void;
};
