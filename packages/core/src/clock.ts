/**
The clocks that a task is given.

Both return milliseconds. `wall` is compared with deadlines that cross hosts;
`monotonic` orders events and expires things inside one process.
*/
export type Clock = {
	readonly wall: () => number;
	readonly monotonic: () => number;
};
