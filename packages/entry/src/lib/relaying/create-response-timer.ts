import type {ResponseTiming} from './response-timing.js';

type ResponseTimer = {
	/** Notes that the request is sent to an endpoint. */
	readonly noteSent: () => void;
	/** Notes that the response to the caller begins, unless it began before. */
	readonly noteBegun: () => void;
	/** Notes that one or more events of a stream are relayed to the caller. */
	readonly noteEvents: () => void;
	readonly timing: () => ResponseTiming;
};

/** Creates the timer of one request. A stream that another run of the request continues counts as one stream. `now` returns monotonic ms. */
export const createResponseTimer = (now: () => number): ResponseTimer => {
	let sentAt: number | undefined;
	let firstAt: number | undefined;
	let lastEventAt: number | undefined;
	let maxPauseMs: number | undefined;

	return {
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
		timing: () => ({sentAt, firstAt, maxPauseMs}),
	};
};
