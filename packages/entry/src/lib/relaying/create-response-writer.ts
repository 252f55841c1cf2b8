import type {IncomingMessage, ServerResponse} from 'node:http';
import {copyHeaders} from '../sending/copy-headers.js';
import type {ResponseWriter} from './response-writer.js';

const noHeaders: ReadonlySet<string> = new Set();
const contentLengthName: ReadonlySet<string> = new Set(['content-length']);

/**
Creates the writer of one response to a caller.

@param isHead Whether the request has the method HEAD: then `Content-Length` stays as the endpoint sent it, since there is no body to measure.
@param isClosing Whether the caller's connection is to be closed after the response; read when the head is written.
*/
export const createResponseWriter = (res: ServerResponse, isHead: boolean, isClosing: () => boolean): ResponseWriter => {
	const writeHead = (response: IncomingMessage, droppedNames: ReadonlySet<string>, addedHeaders: readonly string[] = []): void => {
		res.sendDate = false;
		const connectionHeaders = isClosing() ? ['Connection', 'close'] : [];
		res.writeHead(response.statusCode!, response.statusMessage, [...copyHeaders(response.rawHeaders, droppedNames), ...addedHeaders, ...connectionHeaders]);
	};

	return {
		hasBegun: () => res.headersSent,
		beginStream(response) {
			if (!res.headersSent) {
				writeHead(response, contentLengthName);
			}
		},
		endStream() {
			res.end();
		},
		writeWhole(response, body) {
			writeHead(response, isHead ? noHeaders : contentLengthName, isHead ? [] : ['Content-Length', String(body.length)]);
			res.end(body);
		},
	};
};
