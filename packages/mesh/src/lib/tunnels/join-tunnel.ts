import type {Socket} from 'node:net';
import {createWantedPass} from './create-wanted-pass.js';
import {isReset} from './is-reset.js';

/**
Passes bytes between a peer's connection and the connection that it takes over, until either closes.

The two sides differ. A target that ends normally has sent all of its response, and the peer gets the same end after the last byte; a target
that breaks off resets the peer's connection, so that a response without a length never looks complete. A peer that closes has given its
request up, whatever is still under way, so the target is closed at once, and nothing more of the request is passed on.
*/
export const joinTunnel = (peer: Socket, target: Socket): void => {
	let hasTargetEnded = false;
	target.on('end', () => {
		if (isReset(target)) {
			peer.resetAndDestroy();
			return;
		}

		hasTargetEnded = true;
	});
	target.on('error', () => {
		// What fails after the end of the response is only the passing on of its request. A socket whose end is being sent could not be reset, nor closed any more.
		if (!hasTargetEnded) {
			peer.resetAndDestroy();
		}
	});
	target.on('close', () => {
		if (!hasTargetEnded) {
			peer.resetAndDestroy();
		}
	});
	peer.on('end', () => {
		target.destroy();
	});
	peer.on('error', () => {
		target.destroy();
	});
	peer.on('close', () => {
		target.destroy();
	});
	target.pipe(peer);
	peer.pipe(createWantedPass()).pipe(target);
};
