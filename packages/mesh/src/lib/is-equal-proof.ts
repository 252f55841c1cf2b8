import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';

/** Compares two proofs in constant time. */
export const isEqualProof = (a: string, b: string): boolean =>
	a.length === b.length && timingSafeEqual(Buffer.from(a), Buffer.from(b));
