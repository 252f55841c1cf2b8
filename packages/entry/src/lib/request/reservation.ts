import type {HostRefusal} from '../admission/host-refusal.js';

/** The rights that are reserved for one request. */
export type Reservation = {
	/**
	Reserves more tokens. Returns the refusal for the caller where rights are short.

	The last part of a budget may be kept for more urgent requests: from a first run of a request, but not from a further run.
	*/
	readonly reserve: (tokens: number, isFirstRun: boolean) => Promise<HostRefusal | undefined>;
	/** All that was reserved so far, in tokens. */
	readonly reserved: () => number;
	/** Ends the reservation: `charged` of its tokens are spent, and the others are free again. */
	readonly settle: (charged: number) => void;
};
