import type {StreamOrigin} from './stream-origin.js';

/** What a host finds out about the beginning of a stream that a caller takes up. */
export type FoundOrigin =
	| {
		readonly type: 'known';
		readonly origin: StreamOrigin;
		/** How it was found, for the log: `own`: this host kept it; `peer`: the peer at `from` did. */
		readonly by: 'own' | 'peer';
		/** The address of the peer. */
		readonly from?: string;
		/** How long ago the host that kept it had noted it, in ms. */
		readonly ageMs: number;
	}
	/** The services have one version each, so the stream may go on at any endpoint. */
	| {readonly type: 'single'}
	/** The services have several versions, and no host in reach knows which one began the stream. */
	| {readonly type: 'unknown'};
