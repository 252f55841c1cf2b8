import type {TunnelEnds} from './tunnel-ends.js';

/**
For how long the end of a tunnel is remembered, in ms. The peer asks when it has read the end, which a slow caller or a pause of the peer delays by any
time after the end was handed to the system here. Longer than that, another process may have got the target's address, and would answer for it.
*/
const memoryMs = 60_000;

/** The most ends that are remembered, the newest ones: a bound on memory, of about half a megabyte. */
const maxEnds = 4096;

/** How long a question waits for a tunnel that is open, in ms. Its peer has read an end, so this host knows it too, or is about to. */
const settleMs = 100;

/** For how long after the end of a tunnel its peer's question is to be expected, in ms. */
const questionMs = 500;

/** Resolves with what `settled` resolves with; with `false` when that takes longer than `settleMs`. */
const inTime = async (settled: Promise<boolean>): Promise<boolean> => new Promise(resolve => {
	const timer = setTimeout(() => {
		// If this process was busy, the end of the tunnel is noticed before this callback runs.
		setImmediate(resolve, false);
	}, settleMs);
	const settle = async (): Promise<void> => {
		const hasEnded = await settled;
		clearTimeout(timer);
		resolve(hasEnded);
	};

	void settle();
});

/** Creates a record without tunnels. Only orderly ends are remembered: about any other tunnel there is nothing to say. `now` is monotonic ms. */
export const createTunnelEnds = (now: () => number): TunnelEnds => {
	const open = new Map<string, Promise<boolean>>();
	/** When each tunnel ended, in order. */
	const endedAt = new Map<string, number>();

	const forget = (): void => {
		for (const [ticket, at] of endedAt) {
			if (endedAt.size <= maxEnds && now() - at < memoryMs) {
				return;
			}

			endedAt.delete(ticket);
		}
	};

	const followToEnd = async (ticket: string, settled: Promise<boolean>): Promise<void> => {
		const hasEnded = await settled;
		open.delete(ticket);
		if (hasEnded) {
			endedAt.set(ticket, now());
			forget();
		}
	};

	return {
		follow(ticket, settled) {
			open.set(ticket, settled);
			void followToEnd(ticket, settled);
		},
		async has(ticket) {
			forget();
			const settled = open.get(ticket);
			return settled ? inTime(settled) : endedAt.has(ticket);
		},
		recent: () => [...endedAt.values()].filter(at => now() - at < questionMs).length,
	};
};
