import {type Run, type StoredResponse} from '@deckwheel/ledger';
import type {PlaceRequest} from '../placing/place-request.js';
import type {RequestKey} from '../gateway/request-key.js';
import type {RunEnd} from './run-end.js';

/** A caller's request on its way: what it claims, and how it is sent. */
export type Job = {
	readonly budget: string;
	readonly key: RequestKey;
	/** Whether the caller gave the key, so that an earlier attempt may have run. */
	readonly isKeyPresented: boolean;
	/**
	Whether anybody can still get the answer: the caller is there, or gave the key of the request, with which it may ask for the answer later. A key that
	this host issued comes with the response, so a caller that left before does not know it.
	*/
	readonly isWanted: () => boolean;
	/** Whether the caller has got events of an earlier attempt's stream, so that only the same run may go on with it. */
	readonly hasEvents: boolean;
	readonly fingerprint: string;
	/** Hashes of the parts of its prompt that other requests may share: all messages but the last. */
	readonly sharedParts: readonly string[];
	readonly isRepeatable: boolean;
	readonly worstCase: number;
	/** Wall-clock ms. */
	readonly deadline: number;
	/** Monotonic ms. */
	readonly monotonicDeadline: number;
	readonly place: Omit<PlaceRequest, 'tried'>;
	/** Sends the request to the endpoint, and returns when the run has ended. */
	readonly send: (run: Run, url: string) => Promise<RunEnd>;
	/** Follows a run that another host started. `no_such_run` when the endpoint does not know it. */
	readonly follow: (run: Run, url: string) => Promise<RunEnd | 'no_such_run' | 'cannot_follow'>;
	/** Hands a kept answer to the caller. */
	readonly deliver: (answer: StoredResponse) => void;
	/** Whether the caller got a part of an answer already; then no other run's answer may follow. */
	readonly hasOutput: () => boolean;
};
