import type {EventEmitter} from 'node:events';

const ignore = (): void => undefined;

/**
Keeps a process running when nobody reads its standard output or standard error any more, or there is no room for them: a stream whose
`error` event has no listener ends the process.
*/
export const ignoreOutputErrors = (...outputs: ReadonlyArray<Pick<EventEmitter, 'on' | 'listeners'>>): void => {
	for (const output of outputs) {
		if (!output.listeners('error').includes(ignore)) {
			output.on('error', ignore);
		}
	}
};
