import type {Bundle, SignedBundle, TrustedKey} from '@deckwheel/bundle';
import type {Platform} from '@deckwheel/store-client';
import type {RunningStandIn} from '@deckwheel/stand-ins';
import type {EntryProcess} from './entry-process.js';

/** A small fleet on loopback: stand-ins in this process, daemons as processes of their own. */
export type Fleet = {
	readonly folder: string;
	readonly store: RunningStandIn;
	readonly platform: Platform;
	/** By hall. */
	readonly engines: Readonly<Record<string, RunningStandIn>>;
	readonly service: RunningStandIn;
	/** In the order of the halls. */
	readonly entries: readonly EntryProcess[];
	readonly apiKey: string;
	readonly otherApiKey: string;
	readonly operatorToken: string;
	readonly budget: string;
	readonly bundle: Bundle;
	readonly trustedKeys: readonly TrustedKey[];
	readonly keys: {readonly author: string; readonly approver: string};
	readonly sign: (bundle: Bundle) => SignedBundle;
	/** Starts a further host, or one again under its old name. */
	readonly spawn: (host: string, hall: string, changes?: Record<string, unknown>) => Promise<EntryProcess>;
	/** Tells the platform's list of hosts. */
	readonly listHosts: (entries: readonly EntryProcess[]) => Promise<void>;
	/** Cuts all hosts off from their peers, or joins them again. */
	readonly setLinks: (mode: 'pass' | 'refuse' | 'stall') => void;
	/** Sets faults of a stand-in over its control interface. */
	readonly setFaults: (standIn: RunningStandIn, faults: Record<string, unknown>) => Promise<void>;
	/** Resolves when every host has the bundle and every slot has its pair. */
	readonly settled: (entries: readonly EntryProcess[]) => Promise<void>;
	readonly close: () => Promise<void>;
};
