import {Buffer} from 'node:buffer';

const tokenBytes: ReadonlySet<number> = new Set(Buffer.from('!#$%&\'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz'));

/** Whether a byte may be a part of a field's name (RFC 9110, section 5.6.2). Pure. */
export const isTokenByte = (byte: number): boolean => tokenBytes.has(byte);
