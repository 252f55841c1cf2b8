import {connect} from 'node:net';
import {splitAddress} from '@deckwheel/core';
import {ignoreErrorEvents} from '@deckwheel/host-kit';
import type {AcceptProbe} from './accept-probe.js';

type Options = {
	/** The `ip:port` where this host listens for callers. */
	readonly address: string;
	/** Called once, unless the probe is closed before, with the ms that the connection waited; `undefined` if the connection failed, which says nothing about the wait. */
	readonly onEnd: (waitedMs: number | undefined) => void;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Connects this host to itself, and measures the time until this process accepts the connection.

The accepted connection is recognised by the port of the probe's client, which is known only after the client's 'connect' event. The
process may accept the connection before or after that event.
*/
export const startAcceptProbe = ({address, onEnd, now}: Options): AcceptProbe => {
	const {host, port} = splitAddress(address);
	const startedAt = now();
	/** When a connection from each client port was accepted, in monotonic ms. */
	const acceptedAtByPort = new Map<number, number>();
	const client = connect(port, host);

	const end = (waitedMs?: number): void => {
		client.destroy();
		onEnd(waitedMs);
	};

	const endIfAccepted = (): void => {
		const acceptedAt = acceptedAtByPort.get(client.localPort ?? 0);
		if (acceptedAt !== undefined) {
			end(acceptedAt - startedAt);
		}
	};

	client.once('connect', endIfAccepted);
	client.once('error', () => {
		end();
	});
	ignoreErrorEvents(client);
	return {
		startedAt,
		noteAccepted({remotePort}) {
			if (remotePort !== undefined) {
				acceptedAtByPort.set(remotePort, now());
				endIfAccepted();
			}
		},
		close() {
			client.destroy();
		},
	};
};
