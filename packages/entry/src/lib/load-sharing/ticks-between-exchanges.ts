/** The most messages a second that a load leader gets from its hall. Hosts have little processor time. */
const maxMessagesPerSecond = 100;

/**
Returns how many ticks apart a host's messages to its load leader are.

@param hallSize The number of hosts of the hall.
@param tickMs The time between two ticks, in ms.
*/
export const ticksBetweenExchanges = (hallSize: number, tickMs: number): number =>
	Math.max(1, Math.ceil(hallSize * 1000 / maxMessagesPerSecond / tickMs));
