import type {IncomingMessage} from 'node:http';
import {isBodiless} from './chunk-framing/is-bodiless.js';
import {isChunked} from './chunk-framing/is-chunked.js';
import type {Framing} from './framing.js';

const valuesOf = (rawHeaders: readonly string[], name: string): readonly string[] =>
	rawHeaders.filter((_value, index) => index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === name);

const statesEnd = (rawHeaders: readonly string[]): boolean => {
	const codings = valuesOf(rawHeaders, 'transfer-encoding').at(-1);
	return codings === undefined
		? valuesOf(rawHeaders, 'content-length').length > 0
		: isChunked({'transfer-encoding': codings});
};

/**
Tells from the head of a response how its end is told (RFC 9112, section 6.3): of the transfer codings, only chunks as the last one do. Pure.

It reads the headers as they came, since libraries that decompress a body take its length away from the others.
*/
export const framingOf = ({statusCode, rawHeaders}: Pick<IncomingMessage, 'statusCode' | 'rawHeaders'>, method: string): Framing => {
	const isStated = isBodiless(statusCode!, method) || statesEnd(rawHeaders);
	return isStated ? 'stated' : 'connection';
};
