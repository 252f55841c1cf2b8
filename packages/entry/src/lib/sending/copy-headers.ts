import {hopByHopHeaders} from './hop-by-hop-headers.js';

/** The names that the `Connection` headers list, in lower case: headers that concern this connection only. */
const readConnectionOptions = (rawHeaders: readonly string[]): ReadonlySet<string> => {
	const options: string[] = [];
	for (let i = 0; i < rawHeaders.length; i += 2) {
		if (rawHeaders[i]!.toLowerCase() === 'connection') {
			options.push(...rawHeaders[i + 1]!.toLowerCase().split(',').map(option => option.trim()));
		}
	}

	return new Set(options);
};

/**
Copies the headers of a request or response for the next hop, without hop-by-hop headers and those that a `Connection` header names.

@param rawHeaders Names and values in turn, as node:http has them in `rawHeaders`.
@param droppedNames Names of further headers to leave out, in lower case.
*/
export const copyHeaders = (rawHeaders: readonly string[], droppedNames: ReadonlySet<string>): string[] => {
	const options = readConnectionOptions(rawHeaders);
	const copy: string[] = [];
	for (let i = 0; i < rawHeaders.length; i += 2) {
		const name = rawHeaders[i]!.toLowerCase();
		if (!hopByHopHeaders.has(name) && !droppedNames.has(name) && !options.has(name)) {
			copy.push(rawHeaders[i]!, rawHeaders[i + 1]!);
		}
	}

	return copy;
};
