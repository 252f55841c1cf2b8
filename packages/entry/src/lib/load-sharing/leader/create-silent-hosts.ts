/**
For how long a host that did not answer is left out, in ms. Short, because hosts that leave out different hosts report to different leaders,
each of which knows only a part of the load.
*/
const silenceMs = 3000;

/** Hosts that left a message unanswered a moment ago, by address. */
type SilentHosts = {
	readonly note: (address: string) => void;
	readonly has: (address: string) => boolean;
};

/**
Creates an empty set.

It is kept apart from the suspicions of the peer list. Those make hosts read the directory from the store, and keep peers from lending,
for which a load message that came late is no reason.

@param now Monotonic ms.
*/
export const createSilentHosts = (now: () => number): SilentHosts => {
	const silentUntil = new Map<string, number>();
	return {
		note(address) {
			silentUntil.set(address, now() + silenceMs);
		},
		has(address) {
			const until = silentUntil.get(address);
			if (until !== undefined && until <= now()) {
				silentUntil.delete(address);
				return false;
			}

			return until !== undefined;
		},
	};
};
