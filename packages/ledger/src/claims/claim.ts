import type {StoredResponse} from './stored-response.js';
import type {Run} from './run.js';

/** The record of one request and its runs, found by its budget and key (`claimId`). */
export type Claim = {
	readonly budget: string;
	readonly key: string;
	/** A hash of the request's content: the same key with other content is a conflict, not a retry. */
	readonly fingerprint: string;
	/** Whether the request may run again after an earlier run failed or was lost. */
	readonly repeatable: boolean;
	/** All runs, oldest first. */
	readonly runs: readonly Run[];
	/** Tokens billed. Set by the first outcome that ends the request, a failure without a retry included; a claim is never billed again. */
	readonly bill?: number;
	/** The complete response of the first finished run. It may be recorded later than the bill: a repeatable request runs again after a failure that was billed. */
	readonly answer?: StoredResponse;
	/** Wall-clock time in ms until which the claim is kept, so that retries are recognised. */
	readonly keepUntil: number;
};
