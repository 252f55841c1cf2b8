/** Up to when the list of endpoints has all changes of the platform. */
export type ListProof = {
	/** Notes that the list has all changes that the platform made before the instant `at`, in elapsed ms. */
	readonly confirm: (at: number) => void;
	/** How long ago that was, in ms; `undefined` before the first confirmation. */
	readonly ageMs: () => number | undefined;
	/** Whether the list has all changes that were made before an instant, in elapsed ms, and was confirmed within the time that this takes at most. */
	readonly isConfirmedSince: (instant: number) => boolean;
};

type Options = {
	/** The time within which the list is confirmed again while the store answers, in ms. */
	readonly confirmMs: number;
	/** Elapsed ms, so that a list grows old while the machine is suspended. */
	readonly elapsed: () => number;
};

/** Creates the proof of a host whose list was never confirmed. */
export const createListProof = ({confirmMs, elapsed}: Options): ListProof => {
	let confirmedAt = Number.NEGATIVE_INFINITY;

	return {
		confirm(at) {
			confirmedAt = Math.max(confirmedAt, at);
		},
		ageMs: () => Number.isFinite(confirmedAt) ? Math.max(0, elapsed() - confirmedAt) : undefined,
		isConfirmedSince: instant => confirmedAt >= instant && elapsed() - confirmedAt <= confirmMs,
	};
};
