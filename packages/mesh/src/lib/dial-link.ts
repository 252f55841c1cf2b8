import {WebSocket} from 'ws';
import {succeed} from '@deckwheel/core';
import type {MeshOptions} from '../mesh-options.js';
import {codec} from './codec.js';
import {createPendingRequests} from './create-pending-requests.js';
import {isEqualProof} from './is-equal-proof.js';
import type {DialledLink} from './dialled-link.js';
import {maxFrameBytes} from './max-frame-bytes.js';
import {newNonce} from './new-nonce.js';
import {prove} from './prove.js';

/** A link that is not up by then counts as unreachable, in ms. */
const dialTimeoutMs = 2000;

/** What may wait unsent on one link, in bytes; beyond it, the link is given up and dialled anew. */
const maxBufferedBytes = 32_000_000;

type Callbacks = {
	/** Called once the handshake is done. */
	readonly onUp: () => void;
	/** Called when bytes of the peer came. */
	readonly onHeard: () => void;
	readonly onClose: () => void;
};

/** Opens a connection to a peer. Frames given before the handshake is done wait for it. */
export const dialLink = (address: string, {self, secret}: MeshOptions, {onUp, onHeard, onClose}: Callbacks): DialledLink => {
	const socket = new WebSocket(`ws://${address}`, {maxPayload: maxFrameBytes, perMessageDeflate: false});
	const clientNonce = newNonce();
	const pending = createPendingRequests();
	let backlog: Uint8Array[] = [];
	let serverNonce = '';
	let isUp = false;
	const timer = setTimeout(() => {
		socket.terminate();
	}, dialTimeoutMs);

	const transmit = (data: Uint8Array): void => {
		if (!isUp) {
			backlog.push(data);
			return;
		}

		if (socket.bufferedAmount > maxBufferedBytes) {
			socket.terminate();
			return;
		}

		socket.send(data);
	};

	const open = (): void => {
		isUp = true;
		clearTimeout(timer);
		for (const data of backlog) {
			socket.send(data);
		}

		backlog = [];
		onUp();
	};

	socket.on('message', (data: Uint8Array) => {
		onHeard();
		const frame = codec.decode(data);
		if (frame?.type === 'hello') {
			serverNonce = frame.nonce;
			socket.send(codec.encode({
				type: 'prove', version: 1, identity: self, nonce: clientNonce, proof: prove(secret, 'client', {server: serverNonce, client: clientNonce}, self),
			}));
		} else if (frame?.type === 'welcome' && isEqualProof(frame.proof, prove(secret, 'server', {server: serverNonce, client: clientNonce}, frame.identity))) {
			open();
		} else if (frame?.type === 'reply' && isUp) {
			pending.settle(frame.id, succeed(frame.body));
		} else {
			socket.close(1002, 'unexpected frame');
		}
	});
	socket.on('pong', onHeard);
	socket.on('error', () => {
		socket.terminate();
	});
	socket.on('close', () => {
		clearTimeout(timer);
		// Before the handshake nothing left this host, so the peer cannot have acted.
		pending.failAll(isUp ? 'unknown' : 'unreachable');
		onClose();
	});

	return {
		isUp: () => isUp && socket.readyState === socket.OPEN,
		send(body) {
			transmit(codec.encode({type: 'message', body}));
		},
		request: async (body, timeoutMs) => pending.add(timeoutMs, id => {
			transmit(codec.encode({type: 'request', id, body}));
		}),
		ping() {
			socket.ping();
		},
		close() {
			socket.terminate();
		},
	};
};
