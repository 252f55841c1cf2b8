import type {StoredResponse} from './stored-response.js';
import type {Run} from './run.js';

/** What is known of one request, found by its budget and key. */
export type Claim = {
	readonly budget: string;
	readonly key: string;
	/** A hash of the request's content: the same key with other content is a conflict, not a retry. */
	readonly fingerprint: string;
	readonly repeatable: boolean;
	readonly runs: readonly Run[];
	/** Tokens billed. Set once; a claim is never billed again. */
	readonly bill?: number;
	readonly answer?: StoredResponse;
	/** Wall-clock time in ms until which retries are recognised. */
	readonly keepUntil: number;
};
