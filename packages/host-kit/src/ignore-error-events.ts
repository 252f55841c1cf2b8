import type {EventEmitter} from 'node:events';

const ignore = (): void => undefined;

/**
Keeps a process running whose streams or connections fail when nothing else listens for that: an `error` event without a listener ends the process. Who reads
standard output may leave, and Node.js emits two errors for a connection that is to be reset while its end is being sent.
*/
export const ignoreErrorEvents = (...emitters: ReadonlyArray<Pick<EventEmitter, 'on' | 'listeners'>>): void => {
	for (const emitter of emitters) {
		if (!emitter.listeners('error').includes(ignore)) {
			emitter.on('error', ignore);
		}
	}
};
