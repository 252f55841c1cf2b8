import type {IncomingMessage, ServerResponse} from 'node:http';
import type {CallerWait} from '../receiving/caller-wait.js';
import type {FlowControl} from './flow-control.js';

/** Creates the flow control of one response that is relayed to a caller. `callerWait` is told when it waits for the caller. */
export const createFlowControl = (response: IncomingMessage, res: ServerResponse, callerWait?: Pick<CallerWait, 'notePaused' | 'noteDrained'>): FlowControl => {
	let isWaitingForDrain = false;
	let isReleased = false;

	return {
		pause() {
			response.pause();
		},
		pauseUntilDrain() {
			if (isReleased) {
				return;
			}

			response.pause();
			if (!isWaitingForDrain) {
				isWaitingForDrain = true;
				callerWait?.notePaused();
				res.once('drain', () => {
					isWaitingForDrain = false;
					callerWait?.noteDrained();
					response.resume();
				});
			}
		},
		resume() {
			if (!isWaitingForDrain) {
				response.resume();
			}
		},
		release() {
			isReleased = true;
			response.resume();
		},
	};
};
