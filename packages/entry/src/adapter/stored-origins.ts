import type {StoredOrigin} from './stored-origin.js';

/** The origins of streams that one host keeps in the store. */
export type StoredOrigins = {
	readonly origins: readonly StoredOrigin[];
	/** 0 while the host has stored none. */
	readonly revision: number;
};
