import type {HostRefusal} from '../admission/host-refusal.js';

/** Rights that are set aside for one request. */
export type Reservation = {
	/** Sets more tokens aside; the refusal where rights are short. The last part of a budget may be kept from a first run, and not from a further one. */
	readonly reserve: (tokens: number, isFirstRun: boolean) => Promise<HostRefusal | undefined>;
	/** All that was set aside, in tokens. */
	readonly reserved: () => number;
	/** Ends it: `charged` of the tokens are spent, the others are free again. */
	readonly settle: (charged: number) => void;
};
