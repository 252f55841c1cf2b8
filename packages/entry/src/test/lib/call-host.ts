import {Buffer} from 'node:buffer';
import {request, type IncomingHttpHeaders} from 'node:http';
import {headerNames} from './header-names.js';

/** What a caller got. `isWhole` is false when the answer broke off. */
export type CallerAnswer = {readonly status: number; readonly headers: IncomingHttpHeaders; readonly body: string; readonly isWhole: boolean};

type Call = {
	readonly method?: string;
	readonly path?: string;
	readonly body?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly signal?: AbortSignal;
};

let nextId = 1;

/** Sends one request to a host and reads its answer; status 0 when there was none. */
export const callHost = async (address: string, {method = 'POST', path = '/p', body = '', headers = {}, signal}: Call = {}): Promise<CallerAnswer> => new Promise(resolve => {
	const [host, port] = address.split(':');
	const none: CallerAnswer = {
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
		const finish = (): void => {
			resolve({
				status: res.statusCode!, headers: res.headers, body: Buffer.concat(chunks).toString(), isWhole: res.complete,
			});
		};

		res.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		res.on('error', () => undefined);
		res.on('close', finish);
	});
	req.on('error', () => {
		resolve(none);
	});
	req.end(body);
});
