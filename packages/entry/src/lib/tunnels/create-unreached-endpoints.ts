/** For how long no peer is asked again about an endpoint that none reached, in ms: it is probably dead, and requests must not wait for that twice. */
const unreachedPauseMs = 1000;

/** Remembers for a moment which endpoints no peer reached. */
type UnreachedEndpoints = {
	readonly note: (endpoint: string) => void;
	readonly has: (endpoint: string) => boolean;
};

/** Creates an empty memory. `now` is monotonic ms. */
export const createUnreachedEndpoints = (now: () => number): UnreachedEndpoints => {
	const pauseEnds = new Map<string, number>();

	const forgetExpired = (): void => {
		for (const [endpoint, end] of pauseEnds) {
			if (end <= now()) {
				pauseEnds.delete(endpoint);
			}
		}
	};

	return {
		note(endpoint) {
			forgetExpired();
			pauseEnds.set(endpoint, now() + unreachedPauseMs);
		},
		has: endpoint => (pauseEnds.get(endpoint) ?? 0) > now(),
	};
};
