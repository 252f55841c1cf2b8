import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import {headerNames} from './header-names.js';

/** A request as an endpoint got it. */
export type SeenRequest = {readonly id: string; readonly headers: Readonly<Record<string, unknown>>; readonly path: string; readonly body: string};

/** An endpoint whose responses a test determines. */
export type TestEndpoint = {
	/** The endpoint's entry in the list that hosts get. */
	readonly listed: ListedEndpoint;
	/** The requests that the endpoint got, in order. */
	readonly seen: SeenRequest[];
	readonly close: () => void;
};

/** Responds to one request. The headers that every response needs, the request's id and the stamp, are set already. */
export type Answer = (req: IncomingMessage, res: ServerResponse) => void;

/** Starts an endpoint of the service `s` that responds to each request by `answer`. */
export const startEndpoint = async (id: string, answer: Answer, hall = 'hall-a'): Promise<TestEndpoint> => {
	const seen: SeenRequest[] = [];
	const server = createServer(async (req, res) => {
		const chunks: Uint8Array[] = [];
		for await (const chunk of req) {
			chunks.push(chunk as Uint8Array);
		}

		const requestId = String(req.headers[headerNames.requestId]);
		seen.push({
			id: requestId, headers: req.headers, path: req.url!, body: Buffer.concat(chunks).toString(),
		});
		res.setHeader(headerNames.requestId, requestId);
		res.setHeader(headerNames.stamp, id);
		answer(req, res);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		seen,
		listed: {
			id, instance: id, hall, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, serves: ['s'], slots: 8, isLeaving: false,
		},
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
};
