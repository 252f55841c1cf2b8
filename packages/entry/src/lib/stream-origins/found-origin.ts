import type {StreamOrigin} from './stream-origin.js';

/** What a host finds out about the beginning of a stream that a caller takes up. */
export type FoundOrigin =
	| {
		readonly type: 'known';
		readonly origin: StreamOrigin;
		/**
		How it was found, for the log: `own`: this host kept it; `peer`: the peer at `from` did; `store`: the store does; `base`: the store keeps
		none, so it is the base version of the service.
		*/
		readonly by: 'own' | 'peer' | 'store' | 'base';
		/** The address of the peer. */
		readonly from?: string;
		/** How long ago the host that kept it had noted it, in ms; `undefined` where the store told. */
		readonly ageMs?: number;
	}
	/** The services have one version each, so the stream began at that of its service. */
	| {
		readonly type: 'single';
		/** The version of the likely service; `undefined` where no endpoint of it was ever listed. */
		readonly version: string | undefined;
		/**
		Who showed that there is no other version, for the log: `peers`; `store`; `outdated_peers`: peers whose lists of endpoints were confirmed a while
		ago, while the store could not be read; or `nobody` where this host has no peers.
		*/
		readonly by: 'peers' | 'store' | 'outdated_peers' | 'nobody';
		/** How long ago this host's list of endpoints was confirmed last, in ms; `undefined` where it never was. */
		readonly listAgeMs?: number;
	}
	/** The services have several versions, and nobody knows which one began the stream. */
	| {readonly type: 'unknown'}
	/** The same, but the store, which may know, could not be read. */
	| {readonly type: 'unreadable'};
