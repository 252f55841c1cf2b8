import {Buffer} from 'node:buffer';

/** Returns the text that node:http sends as the UTF-8 bytes of a name: it sends each character as one byte. A name in ASCII stays as it is. Pure. */
export const toHeaderValue = (name: string): string => Buffer.from(name).toString('latin1');
