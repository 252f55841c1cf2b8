import {request} from 'node:http';
import {headerNames} from './header-names.js';

/** One event as a caller got it. */
export type CallerEvent = {readonly id: number; readonly data: string};

/** How a stream ended for its caller. The status is 0 where no response came; `isWhole` is false when the response was cut off. */
export type StreamEnd = {readonly status: number; readonly isWhole: boolean; readonly body: string; readonly events: readonly CallerEvent[]};

type OpenedStream = {
	/** Resolves with the first event, and with `undefined` when the stream ends without one. */
	readonly first: Promise<CallerEvent | undefined>;
	readonly ended: Promise<StreamEnd>;
};

const readEvents = (text: string): readonly CallerEvent[] =>
	[...text.matchAll(/id: (\d+)\ndata: (.*)\n\n/g)].map(([, id, data]) => ({id: Number(id), data: data!}));

/** Sends a request for a stream to a host at `address` (`ip:port`), under the request id `id`. */
export const openStream = (address: string, id: string, headers: Readonly<Record<string, string>> = {}): OpenedStream => {
	const [host, port] = address.split(':');
	let text = '';
	let status = 0;
	let isWhole = false;
	let resolveFirst: (event: CallerEvent | undefined) => void;
	const first = new Promise<CallerEvent | undefined>(resolve => {
		resolveFirst = resolve;
	});
	const ended = new Promise<StreamEnd>(resolve => {
		const end = (): void => {
			resolveFirst(readEvents(text)[0]);
			resolve({
				status, isWhole, body: text, events: readEvents(text),
			});
		};

		const req = request({
			host, port, method: 'POST', path: '/stream', agent: false, headers: {
				host: 'fleet', [headerNames.requestId]: id, [headerNames.apiKey]: 'key', ...headers,
			},
		}, res => {
			status = res.statusCode!;
			res.setEncoding('utf8');
			res.on('data', (chunk: string) => {
				text += chunk;
				const [event] = readEvents(text);
				if (event) {
					resolveFirst(event);
				}
			});
			res.on('end', () => {
				isWhole = res.complete;
			});
			res.on('error', () => undefined);
			res.on('close', end);
		});
		req.on('error', end);
		req.end();
	});
	return {first, ended};
};
