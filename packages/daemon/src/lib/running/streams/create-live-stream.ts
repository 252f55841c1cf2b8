import type {LiveStream} from './live-stream.js';

/** Creates a stream that nothing has come in for yet. */
export const createLiveStream = (): LiveStream => {
	const events: string[] = [];
	let isEnded = false;
	let waiters: Array<() => void> = [];

	const wake = (): void => {
		const woken = waiters;
		waiters = [];
		for (const waiter of woken) {
			waiter();
		}
	};

	return {
		events,
		get isEnded() {
			return isEnded;
		},
		push(event) {
			events.push(event);
			wake();
		},
		end() {
			isEnded = true;
			wake();
		},
		changed: async () => new Promise(resolve => {
			waiters.push(resolve);
		}),
	};
};
