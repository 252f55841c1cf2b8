import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {EventScanner} from './event-scanner.js';
import type {RelayEnd} from './relay-end.js';
import {scanEvents} from './scan-events.js';

type RelayOptions = {
	/** The id of the last event that the caller got, from an earlier run. */
	readonly lastId: string | undefined;
	/** Called with each arrival of bytes. */
	readonly onChunk: () => void;
	/** Called before events are passed on. */
	readonly beforeWrite: () => void;
};

/**
Passes the whole events of a stream on to the caller as they come.

The caller's answer is left open, so that another run can go on with it.

*/
export const relayStream = async (upstream: IncomingMessage, res: ServerResponse, {lastId, onChunk, beforeWrite}: RelayOptions): Promise<RelayEnd> => new Promise(resolve => {
	let scanner: EventScanner = {rest: Buffer.alloc(0), lastId, count: 0};
	const finish = (type: RelayEnd['type']): void => {
		resolve({type, lastId: scanner.lastId, count: scanner.count});
	};

	const resume = (): void => {
		upstream.resume();
	};

	upstream.on('data', (chunk: Uint8Array) => {
		onChunk();
		const scan = scanEvents(scanner, chunk);
		scanner = scan.scanner;
		if (scan.whole.length > 0) {
			beforeWrite();
			if (!res.write(scan.whole)) {
				upstream.pause();
				res.once('drain', resume);
			}
		}
	});
	upstream.on('end', () => {
		finish(upstream.complete && scanner.rest.length === 0 ? 'whole' : 'broken');
	});
	upstream.on('close', () => {
		finish('broken');
	});
	res.on('close', () => {
		finish('caller_left');
		upstream.destroy();
	});
});
