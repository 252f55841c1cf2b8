import type {FoundOrigin} from '../found-origin.js';
import type {KeptOrigin} from '../kept-origin.js';
import type {VersionLedger} from './version-ledger.js';

/** What a host knows and stores of streams in the store, which outlives all hosts. */
export type StoredStreams = {
	/** Resolves once the store has the origin of a stream, or need not have it, or does not take it in time. */
	readonly record: (kept: KeptOrigin, isTakeUp: boolean) => Promise<void>;
	/** Finds where a stream of one of these services began; at the base of `likely` where its origin is not stored. */
	readonly find: (key: string, services: readonly string[], likely: string) => Promise<FoundOrigin>;
	/** As `ensureRead` of `VersionLedger`. */
	readonly ensureRead: VersionLedger['ensureRead'];
	/** As `readAgain` of `VersionLedger`. */
	readonly readAgain: VersionLedger['readAgain'];
	/** As `preferredVersion` of `StreamOrigins`. */
	readonly preferredVersion: (service: string) => string | undefined;
	/** Notes that the listed endpoints have changed. */
	readonly noteListed: () => void;
	/** Notes that nobody takes the stream up. */
	readonly end: (key: string) => void;
	/** Notes that the store was restored from an older copy. */
	readonly noteRestored: () => void;
	/** Writes no more. */
	readonly close: () => void;
};
