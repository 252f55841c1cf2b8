import type {WebSocket} from 'ws';
import type {Identity} from '../identity.js';
import type {MeshOptions} from '../mesh-options.js';
import {codec} from './codec.js';
import {isEqualProof} from './is-equal-proof.js';
import {newNonce} from './new-nonce.js';
import {prove} from './prove.js';

/** A peer that has not proved itself by then is cut off, in ms. */
const handshakeTimeoutMs = 5000;

/** Answers one incoming link: nothing is handled before the peer has proved that it knows the secret. */
export const serveLink = (socket: WebSocket, options: MeshOptions): void => {
	const {self, secret, handlers} = options;
	const nonce = newNonce();
	let peer: Identity | undefined;
	const timer = setTimeout(() => {
		socket.terminate();
	}, handshakeTimeoutMs);

	const admit = (frame: {identity: Identity; nonce: string; proof: string}): void => {
		if (!isEqualProof(frame.proof, prove(secret, 'client', {server: nonce, client: frame.nonce}, frame.identity))) {
			socket.close(1008, 'bad proof');
			return;
		}

		peer = frame.identity;
		clearTimeout(timer);
		socket.send(codec.encode({type: 'welcome', identity: self, proof: prove(secret, 'server', {server: nonce, client: frame.nonce}, self)}));
	};

	const answer = async (from: Identity, id: number, body: unknown): Promise<void> => {
		const reply = await handlers.onRequest(from, body);
		if (socket.readyState === socket.OPEN) {
			socket.send(codec.encode({type: 'reply', id, body: reply}));
		}
	};

	socket.on('message', (data: Uint8Array) => {
		const frame = codec.decode(data);
		if (frame?.type === 'prove' && !peer) {
			admit(frame);
		} else if (frame?.type === 'request' && peer) {
			void answer(peer, frame.id, frame.body);
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
		clearTimeout(timer);
	});
	socket.send(codec.encode({type: 'hello', version: 1, nonce}));
};
