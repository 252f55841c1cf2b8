import type {Socket} from 'node:net';
import {isReset} from './is-reset.js';

/**
Resolves once a tunnel that `joinTunnel` joins is over: with `true` when the target had ended in order and all of it, with its end, was handed to the
system for the peer, and with `false` when either connection broke off or was closed before that.
*/
export const onceTunnelSettled = async (peer: Socket, target: Socket): Promise<boolean> => new Promise(resolve => {
	let hasTargetEnded = false;
	target.on('end', () => {
		hasTargetEnded = !isReset(target);
	});
	peer.on('finish', () => {
		resolve(hasTargetEnded);
	});
	peer.on('close', () => {
		resolve(false);
	});
});
