/** Up to when the list of endpoints has all changes of the platform. */
export type ListProof = {
	/** Notes that the list has all changes that the platform made before the instant `at`, in elapsed ms. */
	readonly confirm: (at: number) => void;
	/** How long ago that was, in ms; `undefined` before the first confirmation. */
	readonly ageMs: () => number | undefined;
};

/** Creates the proof of a host whose list was never confirmed. `elapsed` returns elapsed ms, so that a list grows old while the machine is suspended. */
export const createListProof = (elapsed: () => number): ListProof => {
	let confirmedAt: number | undefined;

	return {
		confirm(at) {
			confirmedAt = Math.max(confirmedAt ?? at, at);
		},
		ageMs: () => confirmedAt === undefined ? undefined : Math.max(0, elapsed() - confirmedAt),
	};
};
