import {once, type EventEmitter} from 'node:events';

/** Resolves once a server that is to listen listens or emits an error; a listener of its own has to note the error. */
export const untilTried = async (server: EventEmitter): Promise<void> => {
	try {
		await once(server, 'listening');
	} catch {}
};
