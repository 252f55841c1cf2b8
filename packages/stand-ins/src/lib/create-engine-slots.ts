import type {EngineLoad} from './engine-load.js';
import type {EngineStream} from './engine-stream.js';

/** The places in which an engine runs streams, and the queue before them. */
type EngineSlots = {
	/** Lets a stream wait for a place; the most urgent goes first. */
	readonly enter: (stream: EngineStream) => void;
	/** Takes a stream that still waits out of the queue. */
	readonly leave: (stream: EngineStream) => void;
	readonly load: () => EngineLoad;
};

/**
Creates `slots` free places.

@param run Runs a stream to its end.
*/
export const createEngineSlots = (slots: number, run: (stream: EngineStream) => Promise<void>): EngineSlots => {
	const waiting: EngineStream[] = [];
	let running = 0;

	const leave = (stream: EngineStream): void => {
		waiting.splice(waiting.indexOf(stream), 1);
	};

	const occupy = async (stream: EngineStream): Promise<void> => {
		stream.state = 'running';
		running++;
		await run(stream);
		running--;
		fill();
	};

	const fill = (): void => {
		const [best] = waiting.toSorted((a, b) => a.priority - b.priority);
		if (!best || running >= slots) {
			return;
		}

		leave(best);
		void occupy(best);
		fill();
	};

	return {
		enter(stream) {
			waiting.push(stream);
			fill();
		},
		leave,
		load: () => ({running, queued: waiting.length}),
	};
};
