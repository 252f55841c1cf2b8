import type {WebSocket} from 'ws';
import type {Identity} from '../identity.js';
import type {MeshOptions} from '../mesh-options.js';
import {codec} from './codec.js';
import {isEqualProof} from './is-equal-proof.js';
import {maxBufferedBytes} from './max-buffered-bytes.js';
import {createNonce} from './create-nonce.js';
import {createProof} from './create-proof.js';

/** The time within which a peer must complete the handshake before its connection is terminated, in ms. */
const handshakeTimeoutMs = 5000;

/**
Serves one incoming link. A request or message that comes before the peer has proved that it knows the secret closes the link. So do replies that the
peer does not read.
*/
export const serveLink = (socket: WebSocket, options: MeshOptions): void => {
	const {self, secret, handlers} = options;
	const nonce = createNonce();
	let peer: Identity | undefined;
	const handshakeTimer = setTimeout(() => {
		socket.terminate();
	}, handshakeTimeoutMs);

	const verifyProof = (frame: {identity: Identity; nonce: string; proof: string}): void => {
		if (!isEqualProof(frame.proof, createProof(secret, 'client', {server: nonce, client: frame.nonce}, frame.identity))) {
			socket.close(1008, 'bad proof');
			return;
		}

		peer = frame.identity;
		clearTimeout(handshakeTimer);
		socket.send(codec.encode({type: 'welcome', identity: self, proof: createProof(secret, 'server', {server: nonce, client: frame.nonce}, self)}));
	};

	const handleRequest = async (from: Identity, id: number, body: unknown): Promise<void> => {
		const reply = await handlers.onRequest(from, body);
		if (socket.readyState !== socket.OPEN) {
			return;
		}

		if (socket.bufferedAmount > maxBufferedBytes) {
			socket.terminate();
			return;
		}

		socket.send(codec.encode({type: 'reply', id, body: reply}));
	};

	socket.on('message', (data: Uint8Array) => {
		const frame = codec.decode(data);
		if (frame?.type === 'prove' && !peer) {
			verifyProof(frame);
		} else if (frame?.type === 'request' && peer) {
			void handleRequest(peer, frame.id, frame.body);
		} else if (frame?.type === 'message' && peer) {
			handlers.onMessage(peer, frame.body);
		} else {
			socket.close(1002, 'unexpected frame');
		}
	});
	socket.on('error', () => {
		socket.terminate();
	});
	socket.on('close', () => {
		clearTimeout(handshakeTimer);
	});
	socket.send(codec.encode({type: 'hello', version: 1, nonce}));
};
