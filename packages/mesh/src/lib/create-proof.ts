import {createHmac} from 'node:crypto';
import type {Identity} from '../identity.js';

/**
Creates the proof that one side of a connection knows the shared secret: an HMAC-SHA256 in hexadecimal over the side, both nonces and
the identity of the host that proves itself.
*/
export const createProof = (secret: string, side: 'client' | 'server', nonces: {readonly server: string; readonly client: string}, identity: Identity): string =>
	createHmac('sha256', secret)
		.update([side, nonces.server, nonces.client, identity.incarnation, identity.hall].join('\n'))
		.digest('hex');
