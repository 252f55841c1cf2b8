import {randomBytes} from 'node:crypto';

/** A fresh nonce: 16 random bytes in hexadecimal. */
export const newNonce = (): string => randomBytes(16).toString('hex');
