import type {IncomingMessage} from 'node:http';
import type {Hold} from '../held-bytes/create-hold.js';
import {createCollector} from './create-collector.js';

/** What came of the body of a response that is held until it is complete. */
export type HeldBody =
	/** All of it. */
	| {readonly type: 'whole'; readonly body: Uint8Array}
	/** The connection broke before the body was complete. */
	| {readonly type: 'broken'}
	/**
	It cannot be held whole: it is longer than one response may be (`long`), or this host has no room for more (`no_room`). `parts` came so far; the response
	is paused.
	*/
	| {readonly type: 'unheld'; readonly reason: 'long' | 'no_room'; readonly parts: readonly Uint8Array[]};

type Options = {
	/** What is held of the response. It is not released here. */
	readonly hold: Pick<Hold, 'tryAdd' | 'bytes'>;
	/** The most bytes of one response that are held. */
	readonly maxBytes: number;
	/** Called with the length of each part of the body, in bytes. */
	readonly onChunk: (bytes: number) => void;
};

/** Reads the body of a response and holds it until it is complete, or as long as there is room for it. Never rejects. */
export const holdResponseBody = async (response: IncomingMessage, {hold, maxBytes, onChunk}: Options): Promise<HeldBody> => new Promise(resolve => {
	// It may have closed before this function was called, and then emits no further event.
	if (response.closed) {
		resolve({type: 'broken'});
		return;
	}

	const collector = createCollector();

	const findExcess = (bytes: number): 'long' | 'no_room' | undefined => {
		if (hold.bytes() + bytes > maxBytes) {
			return 'long';
		}

		return hold.tryAdd(bytes) ? undefined : 'no_room';
	};

	const finish = (held: HeldBody): void => {
		response.off('data', onData);
		response.off('end', onEnd);
		response.off('close', onClose);
		resolve(held);
	};

	const onData = (chunk: Uint8Array): void => {
		onChunk(chunk.length);
		collector.add(chunk);
		const reason = findExcess(chunk.length);
		if (reason) {
			response.pause();
			finish({type: 'unheld', reason, parts: collector.parts()});
		}
	};

	const onEnd = (): void => {
		finish(response.complete ? {type: 'whole', body: collector.whole()} : {type: 'broken'});
	};

	const onClose = (): void => {
		finish({type: 'broken'});
	};

	response.on('data', onData);
	response.on('end', onEnd);
	response.on('close', onClose);
});
