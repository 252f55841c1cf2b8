import type {ResponseTiming} from './response-timing.js';

type ResponseTimer = {
	/** Notes that an endpoint is chosen for the request, which has no connection yet. */
	readonly noteChosen: () => void;
	/** Notes that the request is handed to a connection to its endpoint. */
	readonly noteSent: () => void;
	/** Notes that the response to the caller begins, unless it began before. */
	readonly noteBegun: () => void;
	/** Notes that one or more events of a stream are relayed to the caller. */
	readonly noteEvents: () => void;
	readonly timing: () => ResponseTiming;
};

/** Creates the timer of one request. A stream that another run of the request continues counts as one stream. `now` returns monotonic ms. */
export const createResponseTimer = (now: () => number): ResponseTimer => {
	let chosenAt: number | undefined;
	let sentAt: number | undefined;
	let firstAt: number | undefined;
	let lastEventAt: number | undefined;
	let maxPauseMs: number | undefined;

	return {
		noteChosen() {
			chosenAt = now();
		},
		noteSent() {
			sentAt = now();
		},
		noteBegun() {
			firstAt ??= now();
		},
		noteEvents() {
			const at = now();
			firstAt ??= at;
			if (lastEventAt !== undefined) {
				maxPauseMs = Math.max(maxPauseMs ?? 0, at - lastEventAt);
			}

			lastEventAt = at;
		},
		timing: () => ({
			chosenAt, sentAt, firstAt, maxPauseMs,
		}),
	};
};
