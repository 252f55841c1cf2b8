import type {SettleRequest} from '@deckwheel/ledger';

/** The task that reports the ends of runs until their ledger has them. */
export type Settler = {
	/** Resolves when the ledger has it, or after a short while; it goes on trying in the background. */
	readonly settle: (home: string, request: SettleRequest) => Promise<void>;
	/** Ends of runs that no ledger has yet. */
	readonly open: () => number;
	/** Resolves when none is open, or at the deadline (monotonic ms). */
	readonly drain: (deadline: number) => Promise<void>;
};
