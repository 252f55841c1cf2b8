import {Transform, type TransformCallback} from 'node:stream';
import {afterNextPoll} from '@deckwheel/core';

/**
The most bytes of a request that wait here before reading from its sender pauses. It is more than one read of a socket (64 KiB): while reading is
paused, the end of a connection is not read either.
*/
const maxWaitingBytes = 256 * 1024;

/**
Creates a stream that passes each chunk of a peer's request on once all that had arrived from the peer with it was read. A peer that gave its request up
has then been seen to leave, and whoever listens for that stops the pass.
*/
export const createWantedPass = (): Transform => new Transform({
	writableHighWaterMark: maxWaitingBytes,
	async transform(chunk: Uint8Array, _encoding: string, pass: TransformCallback) {
		await afterNextPoll();
		pass(null, chunk);
	},
});
