/**
How far ahead a host holds rights right after the store is back, in seconds of its demand. Every host of the fleet comes back at that
moment, with records and demand as old as the outage: were each to draw all that it holds in quiet times, a death of all soon after
would strand most of what is left of a budget.
*/
const firstSeconds = 2;

/** How much further ahead for each second since, in seconds: quiet times are reached when all have read what the others drew and spent. */
const secondsPerSecond = 0.5;

/**
Decides how far ahead a host holds rights, in seconds of its demand. Pure.

@param upSince When the store answered again after it was last out of reach, in monotonic ms; minus infinity where it never was.
@param now Monotonic ms.
@param quietSeconds How far ahead in quiet times, in seconds.
*/
export const planHorizon = (upSince: number, now: number, quietSeconds: number): number =>
	Math.min(quietSeconds, firstSeconds + ((now - upSince) / 1000 * secondsPerSecond));
