/** Up to when the list of endpoints has all changes of the platform. */
export type ListProof = {
	/** Notes that the list has all changes that the platform made before the instant `at`, in elapsed ms. */
	readonly confirm: (at: number) => void;
	/** How long ago that was, in ms; `undefined` before the first confirmation. */
	readonly ageMs: () => number | undefined;
	/** The same as peers are told it: a list that was not confirmed since this process was stopped counts as old. */
	readonly toldAgeMs: () => number | undefined;
	/** Whether the list has all changes that were made before an instant, in elapsed ms, and was confirmed within the time that this takes at most. */
	readonly isConfirmedSince: (instant: number) => boolean;
};

type Options = {
	/** The time within which the list is confirmed again while the store answers, in ms. */
	readonly confirmMs: number;
	/** When this process resumed after its last stop, in elapsed ms. */
	readonly resumedAt: () => number;
	/** Elapsed ms, so that a list grows old while the machine is suspended. */
	readonly elapsed: () => number;
};

/** Creates the proof of a host whose list was never confirmed. */
export const createListProof = ({confirmMs, resumedAt, elapsed}: Options): ListProof => {
	let confirmedAt = Number.NEGATIVE_INFINITY;

	const ageMs = (): number | undefined => Number.isFinite(confirmedAt) ? Math.max(0, elapsed() - confirmedAt) : undefined;

	return {
		confirm(at) {
			confirmedAt = Math.max(confirmedAt, at);
		},
		ageMs,
		toldAgeMs: () => Number.isFinite(confirmedAt) && confirmedAt < resumedAt() ? Number.MAX_SAFE_INTEGER : ageMs(),
		isConfirmedSince: instant => confirmedAt >= instant && elapsed() - confirmedAt <= confirmMs,
	};
};
