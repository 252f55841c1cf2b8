import type {IncomingMessage, ServerResponse} from 'node:http';
import {copyHeaders} from '../sending/copy-headers.js';
import type {ResponseWriter} from './response-writer.js';

const noHeaders: ReadonlySet<string> = new Set();
const ownLength: ReadonlySet<string> = new Set(['content-length']);

/**
Creates the writer of one answer.

@param isHead Whether the caller asked for the head only: then its length stays what the endpoint said.
@param isClosing Whether the caller's connection is closed after the answer.
*/
export const createResponseWriter = (res: ServerResponse, isHead: boolean, isClosing: () => boolean): ResponseWriter => {
	const writeHead = (response: IncomingMessage, dropped: ReadonlySet<string>, extra: readonly string[] = []): void => {
		res.sendDate = false;
		const closing = isClosing() ? ['Connection', 'close'] : [];
		res.writeHead(response.statusCode!, response.statusMessage, [...copyHeaders(response.rawHeaders, dropped), ...extra, ...closing]);
	};

	return {
		hasBegun: () => res.headersSent,
		beginStream(response) {
			if (!res.headersSent) {
				writeHead(response, ownLength);
			}
		},
		endStream() {
			res.end();
		},
		writeWhole(response, body) {
			writeHead(response, isHead ? noHeaders : ownLength, isHead ? [] : ['Content-Length', String(body.length)]);
			res.end(body);
		},
	};
};
