/**
The clocks that a task reads.

Both return milliseconds. `wall`, the time of day since the Unix epoch, is for deadlines that are passed between hosts.
`monotonic` is for the order of events and for timeouts inside one process.
*/
export type Clock = {
	readonly wall: () => number;
	readonly monotonic: () => number;
};
