import type {ServiceVersions} from '../../../adapter/service-versions.js';

/** What a host knows of the versions that the store holds. */
export type VersionLedger = {
	/** Reads the stored versions, unless this host has read them. Resolves with whether it has. */
	readonly ensureRead: () => Promise<boolean>;
	/** Reads the stored versions of a service anew. `undefined` when they cannot be read. */
	readonly readAgain: () => Promise<{readonly of: (service: string) => ServiceVersions | undefined} | undefined>;
	/**
	Makes sure that the store names a version before a stream of it is sent there. Resolves with what is stored, and with `undefined` when the
	store cannot be read or written.
	*/
	readonly ensureNamed: (service: string, version: string) => Promise<ServiceVersions | undefined>;
	/** What is stored of a service as this host last read it, if a stream may still be sent to the base without storing its origin. */
	readonly trusted: (service: string) => ServiceVersions | undefined;
	/** Notes that the store was restored from an older copy. */
	readonly noteRestored: () => void;
};
