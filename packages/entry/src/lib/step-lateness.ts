import type {Lateness} from './lateness.js';

/** The weight of one sample in the average. Timers are sampled ten times a second; bodies are as many as there are requests. */
const sampleWeights = {timer: 0.1, body: 0.04} as const;

/** One long pause (a freeze that ended, a collection of garbage) is no lasting overload: samples are cut to this many bounds. */
const mostBounds = 4;

/** The parts of the bound at which overload begins and ends. Between them, the state stays as it is. */
const beginShare = 0.5;
const endShare = 0.1;

/**
Moves a host's lateness on by one sample.

@param source What was late: a timer of this process, or the body of a request, whose head had come before.
@param sampleMs How late it was.
@param boundMs How late an event of a stream may be passed on.
*/
export const stepLateness = ({averageMs, isOverloaded}: Lateness, source: keyof typeof sampleWeights, sampleMs: number, boundMs: number): Lateness => {
	const sample = Math.min(sampleMs, boundMs * mostBounds);
	const next = averageMs + ((sample - averageMs) * sampleWeights[source]);
	return {averageMs: next, isOverloaded: next > boundMs * (isOverloaded ? endShare : beginShare)};
};
