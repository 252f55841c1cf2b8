import {Buffer} from 'node:buffer';
import {request, type IncomingHttpHeaders} from 'node:http';
import {headerNames} from './header-names.js';

/** The response that a caller got. `isWhole` is false when the response was cut off. */
export type CallerAnswer = {readonly status: number; readonly headers: IncomingHttpHeaders; readonly body: string; readonly isWhole: boolean};

type Call = {
	readonly method?: string;
	readonly path?: string;
	readonly body?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly signal?: AbortSignal;
};

let nextId = 1;

/** Sends one request to a host at `address` (`ip:port`) and reads the whole response; the status is 0 where there was none. */
export const callHost = async (address: string, {method = 'POST', path = '/p', body = '', headers = {}, signal}: Call = {}): Promise<CallerAnswer> => new Promise(resolve => {
	const [host, port] = address.split(':');
	const noResponse: CallerAnswer = {
		status: 0, headers: {}, body: '', isWhole: false,
	};
	const req = request({
		host,
		port,
		method,
		path,
		agent: false,
		signal,
		headers: {
			host: 'fleet', [headerNames.requestId]: `q${nextId++}`, [headerNames.apiKey]: 'key', ...headers,
		},
	}, res => {
		const chunks: Uint8Array[] = [];
		const resolveResponse = (): void => {
			resolve({
				status: res.statusCode!, headers: res.headers, body: Buffer.concat(chunks).toString(), isWhole: res.complete,
			});
		};

		res.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		res.on('error', () => undefined);
		res.on('close', resolveResponse);
	});
	req.on('error', () => {
		resolve(noResponse);
	});
	req.end(body);
});
