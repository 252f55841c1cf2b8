import type {IncomingMessage, ServerResponse} from 'node:http';
import {copyHeaders} from '../sending/copy-headers.js';
import type {ResponseWriter} from './response-writer.js';

/** The header that this host writes itself, in lower case. */
const droppedNames: ReadonlySet<string> = new Set(['content-length']);

/**
Creates the writer of one response to a caller.

@param isHead Whether the request has the method HEAD: then `Content-Length` stays as the endpoint sent it, since there is no body to measure.
@param isClosing Whether the caller's connection is to be closed after the response; read when the head is written.
*/
export const createResponseWriter = (res: ServerResponse, isHead: boolean, isClosing: () => boolean): ResponseWriter => {
	const writeHead = (response: IncomingMessage, addedHeaders: readonly string[] = []): void => {
		res.sendDate = false;
		const connectionHeaders = isClosing() ? ['Connection', 'close'] : [];
		res.writeHead(response.statusCode!, response.statusMessage, [...copyHeaders(response.rawHeaders, droppedNames), ...addedHeaders, ...connectionHeaders]);
	};

	return {
		hasBegun: () => res.headersSent,
		beginStream(response) {
			if (!res.headersSent) {
				writeHead(response);
			}
		},
		beginBody(response) {
			const {'content-length': length, 'transfer-encoding': coding} = response.headers;
			writeHead(response, length === undefined || coding !== undefined ? [] : ['Content-Length', length]);
		},
		endStream() {
			res.end();
		},
		writeWhole(response, body) {
			const length = isHead ? response.headers['content-length'] : String(body.length);
			// After a length, node:http throws on a `Content-Disposition` with a file name beyond ASCII, so the length comes last.
			writeHead(response, length === undefined ? [] : ['Content-Length', length]);
			res.end(body);
		},
	};
};
