import {WebSocket} from 'ws';
import {succeed} from '@deckwheel/core';
import type {MeshOptions} from '../mesh-options.js';
import {codec} from './codec.js';
import {createPendingRequests} from './create-pending-requests.js';
import {isEqualProof} from './is-equal-proof.js';
import type {DialledLink} from './dialled-link.js';
import {maxBufferedBytes} from './max-buffered-bytes.js';
import {maxFrameBytes} from './max-frame-bytes.js';
import {createNonce} from './create-nonce.js';
import {createProof} from './create-proof.js';

/** The time within which a dialled connection must complete its handshake, in ms; after it, its requests fail as `unreachable`. */
const dialTimeoutMs = 2000;

type Callbacks = {
	/** Called once the handshake is done. */
	readonly onUp: () => void;
	/** Called when bytes of the peer came: a frame or a pong. */
	readonly onHeard: () => void;
	/** Called when the connection has closed, also when it never came up. */
	readonly onClose: () => void;
};

/** Opens a connection to a peer at `address`, `ip:port`. Frames that are sent before the handshake is done wait for it. */
export const dialLink = (address: string, {self, secret}: MeshOptions, {onUp, onHeard, onClose}: Callbacks): DialledLink => {
	const socket = new WebSocket(`ws://${address}`, {maxPayload: maxFrameBytes, perMessageDeflate: false});
	const clientNonce = createNonce();
	const pending = createPendingRequests();
	let backlog: Uint8Array[] = [];
	let backlogBytes = 0;
	let serverNonce = '';
	let isUp = false;
	const dialTimer = setTimeout(() => {
		socket.terminate();
	}, dialTimeoutMs);

	const sendFrame = (data: Uint8Array): void => {
		if (socket.bufferedAmount + backlogBytes > maxBufferedBytes) {
			socket.terminate();
		} else if (isUp) {
			socket.send(data);
		} else {
			backlog.push(data);
			backlogBytes += data.length;
		}
	};

	const completeHandshake = (): void => {
		isUp = true;
		clearTimeout(dialTimer);
		for (const data of backlog) {
			socket.send(data);
		}

		backlog = [];
		backlogBytes = 0;
		onUp();
	};

	socket.on('message', (data: Uint8Array) => {
		onHeard();
		const frame = codec.decode(data);
		if (frame?.type === 'hello') {
			serverNonce = frame.nonce;
			socket.send(codec.encode({
				type: 'prove', version: 1, identity: self, nonce: clientNonce, proof: createProof(secret, 'client', {server: serverNonce, client: clientNonce}, self),
			}));
		} else if (frame?.type === 'welcome' && isEqualProof(frame.proof, createProof(secret, 'server', {server: serverNonce, client: clientNonce}, frame.identity))) {
			completeHandshake();
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
		clearTimeout(dialTimer);
		// Before the handshake is done no request has left this host, so the peer cannot have handled one.
		pending.failAll(isUp ? 'unknown' : 'unreachable');
		onClose();
	});

	return {
		isUp: () => isUp && socket.readyState === socket.OPEN,
		send(body) {
			sendFrame(codec.encode({type: 'message', body}));
		},
		request: async (body, timeoutMs) => pending.add(timeoutMs, id => {
			sendFrame(codec.encode({type: 'request', id, body}));
		}),
		ping() {
			socket.ping();
		},
		close() {
			socket.terminate();
		},
	};
};
