/** Work that must not overlap, by key. */
type Turns<K> = {
	/** Does work once all earlier work of the key is done. */
	readonly take: <T>(key: K, work: () => Promise<T>) => Promise<T>;
};

/** Creates turns that nobody waits for. */
export const createTurns = <K>(): Turns<K> => {
	const last = new Map<K, Promise<unknown>>();
	return {
		async take(key, work) {
			const before = last.get(key);
			const turn = (async () => {
				await before;
				return work();
			})();
			last.set(key, turn);
			const result = await turn;
			if (last.get(key) === turn) {
				last.delete(key);
			}

			return result;
		},
	};
};
