import {createHash} from 'node:crypto';
import type {RequestIdentity} from './request-identity.js';

/** Signs of a fingerprint: 132 bits, so that no request is ever taken for another. */
const fingerprintLength = 22;

/**
Names a request by what it is: the same on every host, and each time that its caller sends it again. Pure.

Headers are left out: some differ with each sending.
*/
export const fingerprintOf = ({method, host, path, caller, body}: RequestIdentity): string =>
	createHash('sha256')
		.update(JSON.stringify([method, host, path, caller]))
		.update(body)
		.digest('base64url')
		.slice(0, fingerprintLength);
