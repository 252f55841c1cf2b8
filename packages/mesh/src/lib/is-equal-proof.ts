import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';

/** Compares two proofs in constant time. They are compared as bytes, since two texts of equal length may differ in these. */
export const isEqualProof = (a: string, b: string): boolean => {
	const [bytesOfA, bytesOfB] = [Buffer.from(a), Buffer.from(b)];
	return bytesOfA.length === bytesOfB.length && timingSafeEqual(bytesOfA, bytesOfB);
};
