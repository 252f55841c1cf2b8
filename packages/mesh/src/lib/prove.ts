import {createHmac} from 'node:crypto';
import type {Identity} from '../identity.js';

/** Proves knowledge of the shared secret for one connection: both nonces, the side, and the prover's identity go in. */
export const prove = (secret: string, side: 'client' | 'server', nonces: {readonly server: string; readonly client: string}, identity: Identity): string =>
	createHmac('sha256', secret)
		.update([side, nonces.server, nonces.client, identity.incarnation, identity.hall].join('\n'))
		.digest('hex');
