import type {IncomingHttpHeaders} from 'node:http';

/** Whether the headers of a message say that its body is sent in chunks, so that its last chunk ends it (RFC 9112, section 6.3). Pure. */
export const isChunked = (headers: Pick<IncomingHttpHeaders, 'transfer-encoding'>): boolean =>
	headers['transfer-encoding']?.split(',').at(-1)!.trim().toLowerCase() === 'chunked';
