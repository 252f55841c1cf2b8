/** The share of the store's writes that origins may take; rights and hosts' entries need the others. */
const writeShare = 0.25;

/** The shortest interval between two writes of a host, in ms. The first event of a stream seldom comes sooner, so more writes would gain nothing. */
const minIntervalMs = 100;

/** The longest interval, in ms: callers wait for no more than that, so hosts beyond the share take more of the store's writes instead. */
const maxIntervalMs = 400;

/**
Returns the interval between two writes of origins by one host, in ms. Pure.

@param hosts The number of hosts that share the store.
@param writesPerSecond The writes that the store accepts of all hosts together.
*/
export const planWriteInterval = (hosts: number, writesPerSecond: number): number =>
	Math.min(maxIntervalMs, Math.max(minIntervalMs, (hosts * 1000) / (writesPerSecond * writeShare)));
