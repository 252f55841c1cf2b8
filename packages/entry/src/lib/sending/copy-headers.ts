import {hopByHopHeaders} from './hop-by-hop-headers.js';

const connectionOptions = (raw: readonly string[]): ReadonlySet<string> => {
	const named: string[] = [];
	for (let i = 0; i < raw.length; i += 2) {
		if (raw[i]!.toLowerCase() === 'connection') {
			named.push(...raw[i + 1]!.toLowerCase().split(',').map(option => option.trim()));
		}
	}

	return new Set(named);
};

/**
Copies headers for the next hop, without those that concern one connection only.

@param raw Names and values in turn, as node:http gives them.
@param dropped More names to leave out, in lower case.
*/
export const copyHeaders = (raw: readonly string[], dropped: ReadonlySet<string>): string[] => {
	const options = connectionOptions(raw);
	const copy: string[] = [];
	for (let i = 0; i < raw.length; i += 2) {
		const name = raw[i]!.toLowerCase();
		if (!hopByHopHeaders.has(name) && !dropped.has(name) && !options.has(name)) {
			copy.push(raw[i]!, raw[i + 1]!);
		}
	}

	return copy;
};
