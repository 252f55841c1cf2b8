import {connect} from 'node:net';
import {splitAddress} from '@deckwheel/core';
import type {AcceptProbe} from './accept-probe.js';

type Options = {
	/** Where this host listens for callers, as `ip:port`. */
	readonly address: string;
	/** Called once, with how long the connection waited in ms; with 0 where it failed, which says nothing of the wait. */
	readonly onEnd: (waitedMs: number) => void;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Connects this host to itself, and measures until the connection is taken.

The client's port, by which it is recognised, is known once the connection is up; that may be told before or after it was taken.
*/
export const startAcceptProbe = ({address, onEnd, now}: Options): AcceptProbe => {
	const {host, port} = splitAddress(address);
	const startedAt = now();
	/** When a connection from each port was taken, in monotonic ms. */
	const acceptedAt = new Map<number, number>();
	const client = connect(port, host);

	const end = (waitedMs: number): void => {
		client.destroy();
		onEnd(waitedMs);
	};

	const endIfTaken = (): void => {
		const takenAt = acceptedAt.get(client.localPort ?? 0);
		if (takenAt !== undefined) {
			end(takenAt - startedAt);
		}
	};

	client.once('connect', endIfTaken);
	client.once('error', () => {
		end(0);
	});
	return {
		startedAt,
		accepted({remotePort}) {
			if (remotePort !== undefined) {
				acceptedAt.set(remotePort, now());
				endIfTaken();
			}
		},
		close() {
			client.destroy();
		},
	};
};
