import {randomBytes} from 'node:crypto';

/** Creates a nonce: 16 random bytes in hexadecimal. */
export const createNonce = (): string => randomBytes(16).toString('hex');
