/** The fewest events by which the speed of a stream is told: with fewer, the time that one event took to arrive decides. */
const minEvents = 4;

type Stream = {
	/** When the first and the last event arrived, in monotonic ms. */
	readonly firstAt: number;
	readonly lastAt: number;
	/** The number of events. */
	readonly events: number;
};

/** Returns the time per event of a stream, in ms; `undefined` for a stream that is too short, or whose events arrived all at once. */
export const msPerEvent = ({firstAt, lastAt, events}: Stream): number | undefined =>
	events >= minEvents && lastAt > firstAt ? (lastAt - firstAt) / (events - 1) : undefined;
