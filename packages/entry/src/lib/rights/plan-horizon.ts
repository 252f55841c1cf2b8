/**
How far ahead a host holds rights right after the store is back in reach, in seconds of the host's demand. All hosts of the fleet draw
again at that moment, with records and demand as old as the outage. If each of them drew all that it holds in normal operation, a crash of
all hosts soon after would strand most of what is left of a budget.
*/
const initialHorizonSeconds = 2;

/** By how many seconds the horizon grows in each second after that. It is back to its full length when all hosts have read what the others drew and spent. */
const horizonGrowth = 0.5;

/**
Decides how far ahead a host holds rights, in seconds of its demand. Pure.

@param upSince When the store answered again after it was last out of reach, in monotonic ms; minus infinity if it never was out of reach.
@param now Monotonic ms.
@param fullHorizonSeconds How far ahead a host holds rights in normal operation, in seconds.
*/
export const planHorizon = (upSince: number, now: number, fullHorizonSeconds: number): number =>
	Math.min(fullHorizonSeconds, initialHorizonSeconds + ((now - upSince) / 1000 * horizonGrowth));
