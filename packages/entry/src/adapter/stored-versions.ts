import type {ServiceVersions} from './service-versions.js';

/** The software versions of all services, as the store holds them. */
export type StoredVersions = {
	readonly services: readonly ServiceVersions[];
	/** 0 while nothing is stored. */
	readonly revision: number;
};
